"""Failover: detects failed primaries, and elects and promotes new ones."""
