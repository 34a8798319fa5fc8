"""The command line, the client library for callers and the admin language."""
