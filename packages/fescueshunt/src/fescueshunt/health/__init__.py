"""The health pipe, which polls upstreams and publishes group views."""
