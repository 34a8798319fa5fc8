"""Network and store adapters of a host that serves client sessions."""
