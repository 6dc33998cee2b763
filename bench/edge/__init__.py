"""Bench of one entry instance: latency, starts, idle use, start-up."""
