"""Minimal stand-ins for the platform, for demos, benchmarks and tests."""
