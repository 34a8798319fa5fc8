"""Capacity measurements: costs at several sizes and a linear fit to each.

Run `python -m capacity` from the root of the repository; `make capacity` runs
all measurements. The tables of docs/CAPACITY.md are computed from the results.
"""
