"""Slots of upstreams: which this instance may fill, and who holds them."""
