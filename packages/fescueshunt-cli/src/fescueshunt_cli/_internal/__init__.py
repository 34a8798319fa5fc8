"""What is not public in the command line."""
