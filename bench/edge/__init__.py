"""Benchmark of one entry instance: latency, starts, idle usage, start-up."""
