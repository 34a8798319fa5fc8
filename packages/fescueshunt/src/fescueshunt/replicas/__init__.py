"""The replicas pipe: from entries and status to each replica set's view."""
