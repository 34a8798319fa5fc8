"""The replicas pipe, which tracks the members and primary of replica sets."""
