"""Implementation of the command line; not part of the public API."""
