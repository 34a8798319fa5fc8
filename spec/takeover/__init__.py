"""A model-checked specification of how a primary is replaced."""
