"""Admission, fair queueing and the choice of the next task."""
