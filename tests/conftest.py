"""What holds for every test."""

import hypothesis

# The verdict of a logic test depends neither on chance nor on how busy the
# machine is; `make soak` looks for more with fresh seeds.
hypothesis.settings.register_profile(
    "logic", deadline=None, derandomize=True, print_blob=True
)
hypothesis.settings.load_profile("logic")
