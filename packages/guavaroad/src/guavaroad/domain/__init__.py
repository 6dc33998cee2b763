"""Pure decisions of the dispatcher; nothing here does I/O."""
