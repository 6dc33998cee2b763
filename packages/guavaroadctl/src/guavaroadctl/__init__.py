"""Guavaroadctl: the command line for clients and operators of guavaroad."""

__version__ = '0.1.0'
