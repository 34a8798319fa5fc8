"""The proxy process: its I/O adapters, composition root and executable."""
