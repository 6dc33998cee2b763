"""Failure detector for entry instances.

It evaluates heartbeats inside a zone and zone reports between zones.
"""
