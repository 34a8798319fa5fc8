"""The request pipe, which takes each request from admission to its answer."""
