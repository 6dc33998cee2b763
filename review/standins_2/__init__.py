"""Stand-ins for the cases 6 to 10: store, minions, clients and a partition."""
