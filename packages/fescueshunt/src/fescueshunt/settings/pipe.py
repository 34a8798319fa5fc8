"""The settings pipe, put together."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import filters, items, views
from fescueshunt.settings import adopt, spread, watch

if TYPE_CHECKING:
    import random

    from fescueshunt.core import identity

ACCEPTS = (
    items.SettingsRead,
    items.SettingsReadFailed,
    items.SettingsAccepted,
    items.PeerReceived,
    views.FleetView,
    filters.Tick,
)


def build(me: identity.Identity, chance: random.Random) -> filters.Pipe:
    """Returns the settings pipe of the proxy `me`.

    Args:
      me: this proxy.
      chance: the seeded source of the choice of peers.
    """
    stages = (adopt.Adopt(), watch.Watch(me), spread.Spread(me, chance))
    return filters.Pipe(stages, ACCEPTS)
