"""The takeover pipe: elects one host to replace failed or leaving primaries.

The elected host holds the failover duty, the exclusive right to replace
primaries. It is a leased key in the platform's store.
"""
