"""Stand-ins of the users' platform, minions and clients for the cases."""
