"""Decision logic and data classes of the fescueshunt database proxy.

Nothing in this package does I/O or reads a clock.
"""
