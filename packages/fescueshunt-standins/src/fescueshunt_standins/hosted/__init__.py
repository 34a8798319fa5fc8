"""Stand-in for the platform of hosts: key-value store and replica set."""
