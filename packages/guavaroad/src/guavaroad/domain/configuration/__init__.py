"""Versioned configuration document and patches to it."""
