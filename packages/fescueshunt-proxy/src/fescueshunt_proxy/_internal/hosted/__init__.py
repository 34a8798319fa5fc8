"""The border of a host whose front end holds sessions."""
