"""Types and algorithms that the pipes share."""
