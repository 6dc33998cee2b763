"""Interfaces of the services to I/O and other external components."""
