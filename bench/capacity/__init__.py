"""Slopes of state, messages and processor time, measured on real processes."""
