"""Which upstreams and jobs may be given work."""
