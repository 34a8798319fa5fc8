"""The health pipe: from statuses of upstreams to the group view."""
