"""Response time, messages and floods on real processes."""
