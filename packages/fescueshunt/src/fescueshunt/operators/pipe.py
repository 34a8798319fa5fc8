"""The operators pipe, put together."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import filters, items, queries, views
from fescueshunt.operators import (
    authorize,
    change,
    gather,
    promotions,
    show,
)

if TYPE_CHECKING:
    from fescueshunt.core import identity

ACCEPTS = (
    items.OperatorAsked,
    items.SettingsSwapped,
    items.SettingsSwapFailed,
    items.BackRead,
    items.ArchiveRead,
    items.StoreReadFailed,
    items.PeerReceived,
    views.SettingsView,
    views.FleetView,
    views.GroupView,
    views.Promotion,
    queries.LocalReply,
    filters.Tick,
)


def build(me: identity.Identity) -> filters.Pipe:
    """Returns the operators pipe of the proxy `me`."""
    stages = (
        authorize.Authorize(),
        change.Change(),
        gather.Gather(me),
        promotions.Promotions(),
        show.Show(me),
    )
    return filters.Pipe(stages, ACCEPTS)
