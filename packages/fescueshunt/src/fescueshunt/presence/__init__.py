"""The presence pipe: this host's lease, and the hosts that are live."""
