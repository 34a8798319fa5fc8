"""The presence pipe, which keeps this host's lease and tracks live hosts."""
