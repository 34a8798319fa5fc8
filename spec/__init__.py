"""The specification of the core protocol, checked exhaustively."""
