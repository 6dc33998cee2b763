"""Linear cost models of real processes: memory, messages, processor time."""
