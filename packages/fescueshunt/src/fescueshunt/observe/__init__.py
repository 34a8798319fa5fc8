"""The observe pipe: sessions, refusals and how requests were decided."""
