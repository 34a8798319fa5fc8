"""The operators pipe: from statements to answers and changes of settings."""
