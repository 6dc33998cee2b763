"""Services of the worker pool, which connect its domain to the ports."""
