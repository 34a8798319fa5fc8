"""Builds the settings pipe from its filters."""

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

EMITS = (
    items.ReadSettings,
    items.SendPeer,
    views.SettingsView,
)


def build(local_proxy: identity.Identity, rng: random.Random) -> filters.Pipe:
    """Returns the settings pipe of one proxy.

    Args:
      local_proxy: the proxy that runs the pipe.
      rng: the seeded source of randomness for choosing peers.
    """
    stages = (
        adopt.Adopt(),
        watch.StoreWatch(local_proxy),
        spread.Gossip(local_proxy, rng),
    )
    return filters.Pipe(stages, ACCEPTS, EMITS)
