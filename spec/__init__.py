"""Formal specification of the failover protocol, for exhaustive checking."""
