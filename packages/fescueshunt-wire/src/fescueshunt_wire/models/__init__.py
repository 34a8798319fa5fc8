"""Validated models, one for each message; the border's side of the data."""
