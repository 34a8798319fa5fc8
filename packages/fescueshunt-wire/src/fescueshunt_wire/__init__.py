"""Message encoding, validation and transport, shared by all processes."""
