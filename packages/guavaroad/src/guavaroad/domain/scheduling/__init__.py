"""Which task goes to which slot next."""
