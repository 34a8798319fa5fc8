"""Parts of the measurements that need no stand-in."""
