"""Stand-ins of the outside systems, run as plain processes."""
