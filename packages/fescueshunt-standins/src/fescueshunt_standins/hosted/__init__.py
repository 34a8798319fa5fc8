"""Stand-ins for the hosts' platform: key-value store, replica sets, calls."""
