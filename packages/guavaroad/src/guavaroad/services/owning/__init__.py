"""Owner of submissions: ids, records, claims, ends and answers."""
