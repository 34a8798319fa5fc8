"""The takeover pipe: the failover duty, votes, and replacing a primary."""
