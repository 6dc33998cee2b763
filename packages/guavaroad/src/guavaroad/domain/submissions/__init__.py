"""Protocol of submissions: records, claims, takeover; pure decisions."""
