"""Frames, border models and channels shared by the processes."""
