"""The bench: load over real processes, and a verdict on each target."""
