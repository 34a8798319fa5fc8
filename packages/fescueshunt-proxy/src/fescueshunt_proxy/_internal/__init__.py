"""Private implementation of the proxy process."""
