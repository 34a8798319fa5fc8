"""Decisions and data classes of the fescueshunt database proxy."""
