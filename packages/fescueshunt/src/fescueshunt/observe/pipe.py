"""The observe pipe, put together."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import filters, items, queries, views
from fescueshunt.observe import record, tally

if TYPE_CHECKING:
    from fescueshunt.core import identity

ACCEPTS = (
    items.CallerRequest,
    items.CallerClosed,
    items.AnswerCaller,
    items.SendPeer,
    items.PeerReceived,
    items.OpenUpstream,
    items.RunUpstream,
    items.UpstreamReplied,
    items.UpstreamFailed,
    items.CloseUpstream,
    queries.LocalQuery,
    views.GroupView,
)


def build(me: identity.Identity) -> filters.Pipe:
    """Returns the observe pipe of the proxy `me`."""
    stages = (tally.Tally(), record.Record(me.name))
    return filters.Pipe(stages, ACCEPTS)
