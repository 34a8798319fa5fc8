"""Adapter to the users' platform: its wire names, formats and calls.

The adapter only translates between the platform's formats and the types of the
core; it makes no decisions. Code outside the adapter does not use the
platform's names.
"""
