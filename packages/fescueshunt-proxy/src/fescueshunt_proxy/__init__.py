"""The proxy process: border, composition root and binary."""
