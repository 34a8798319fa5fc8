"""Core types that every pipe shares."""
