"""The load generator: plans, arrivals, requests and what became of them."""
