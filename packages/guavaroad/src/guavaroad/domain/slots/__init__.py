"""Leasing of upstream slots to the instances of an availability zone."""
