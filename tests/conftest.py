"""Hypothesis settings for all tests."""

import hypothesis

# Deterministic examples without a deadline, so that results depend neither on
# the seed nor on the load of the machine. `make soak` uses new seeds.
hypothesis.settings.register_profile(
    "logic", deadline=None, derandomize=True, print_blob=True
)
hypothesis.settings.load_profile("logic")
