"""Adapter to the users' platform: its wire names, formats and calls.

The adapter only translates and makes no decisions. Code outside of it does not
use the platform's names.
"""
