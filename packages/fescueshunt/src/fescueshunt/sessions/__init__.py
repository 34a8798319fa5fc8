"""The sessions pipe: runs the statements of client sessions on upstreams."""
