"""Measures what a part costs at several sizes and fits a slope to it.

Run as `python -m capacity` from the root of the repository; `make capacity`
runs everything. docs/CAPACITY.md is worked out from the figures.
"""
