"""The lending pipe, by which hosts share few connections to upstreams."""
