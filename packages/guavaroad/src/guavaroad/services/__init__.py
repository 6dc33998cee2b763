"""Application services that join domain decisions to ports."""
