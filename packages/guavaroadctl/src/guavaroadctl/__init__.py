"""Command-line client of guavaroad for submitters and operators."""

__version__ = '0.1.0'
