"""The sessions pipe: from a client's statement to its whole answer."""
