"""Builds the observe pipe from its filters."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import filters, items, queries, views
from fescueshunt.observe import counters, recorder

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

EMITS = (queries.LocalReply,)


def build(local_proxy: identity.Identity) -> filters.Pipe:
    """Returns the observe pipe of one proxy.

    Args:
      local_proxy: the proxy that runs the pipe.
    """
    stages = (counters.Counters(), recorder.StepRecorder(local_proxy.name))
    return filters.Pipe(stages, ACCEPTS, EMITS)
