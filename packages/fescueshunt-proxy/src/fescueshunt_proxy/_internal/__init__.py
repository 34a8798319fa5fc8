"""What is not public in the proxy process."""
