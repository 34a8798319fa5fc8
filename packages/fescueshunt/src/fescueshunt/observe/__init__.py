"""The observe pipe, which records sessions, refusals and request steps."""
