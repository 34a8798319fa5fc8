"""Builds the operators pipe from its filters."""

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

EMITS = (
    items.AnswerOperator,
    items.ReadArchive,
    items.ReadBack,
    items.SendPeer,
    items.SettingsAccepted,
    items.SwapSettings,
    queries.LocalQuery,
    queries.LocalReply,
)


def build(local_proxy: identity.Identity) -> filters.Pipe:
    """Returns the operators pipe of one proxy.

    Args:
      local_proxy: the proxy that runs the pipe.
    """
    stages = (
        authorize.Authorize(),
        change.ChangeSettings(),
        gather.Gather(local_proxy),
        promotions.PromotionHistory(),
        show.Show(local_proxy),
    )
    return filters.Pipe(stages, ACCEPTS, EMITS)
