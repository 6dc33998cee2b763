"""Protocol of submissions: records, claims and takeover, without I/O."""
