"""Domain logic of the dispatcher.  Nothing in this package does I/O."""
