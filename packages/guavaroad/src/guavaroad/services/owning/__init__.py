"""Owner of submissions: ids, records, claims, outcomes and answers."""
