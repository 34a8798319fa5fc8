"""The members pipe: from host list and heartbeats to the fleet view."""
