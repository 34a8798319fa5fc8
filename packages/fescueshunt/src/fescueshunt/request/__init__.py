"""The request pipe: from a caller's frame to one whole answer."""
