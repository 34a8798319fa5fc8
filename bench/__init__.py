"""Benchmarks that load real proxy processes and check performance targets."""
