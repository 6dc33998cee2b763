"""Interfaces between the services and the outside world."""
