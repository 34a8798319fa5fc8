"""Open-loop load generator: plans, arrival times, requests and results."""
