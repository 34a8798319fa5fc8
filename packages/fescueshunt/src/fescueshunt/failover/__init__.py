"""The failover pipe: from the group view to fence, choose, promote."""
