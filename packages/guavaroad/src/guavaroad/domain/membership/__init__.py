"""Which entry instances live, judged from heartbeats and zone reports."""
