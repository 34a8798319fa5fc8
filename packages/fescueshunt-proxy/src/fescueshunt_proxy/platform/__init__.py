"""The adapter to the users' platform: names, formats and calls.

It translates and decides nothing. Nothing outside knows the platform's names.
"""
