"""The operators pipe, which executes the statements of operators."""
