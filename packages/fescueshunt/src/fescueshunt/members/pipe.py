"""The members pipe, put together."""

from __future__ import annotations

from fescueshunt.core import filters, identity, items
from fescueshunt.members import listed

ACCEPTS = (items.HostsRead, filters.Tick)


def build(me: identity.Identity) -> filters.Pipe:
    """Returns the members pipe of the proxy `me`."""
    return filters.Pipe((listed.Listed(me),), ACCEPTS)
