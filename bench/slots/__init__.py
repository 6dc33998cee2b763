"""Benchmark of slot allocation: response times, messages and floods."""
