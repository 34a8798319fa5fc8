"""Command line, caller library and operator language."""
