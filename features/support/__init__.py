"""What several step modules share."""
