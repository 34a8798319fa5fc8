"""All the decisions of a proxy, as one core that plain calls can drive."""

from __future__ import annotations

from fescueshunt.core import filters, identity
from fescueshunt.health import pipe as health_pipe
from fescueshunt.members import pipe as members_pipe
from fescueshunt.request import ledger
from fescueshunt.request import pipe as request_pipe
from fescueshunt.settings import pipe as settings_pipe


def build(me: identity.Identity, codec: ledger.ResultCodec) -> filters.Core:
    """Returns the core of the proxy `me`."""
    return filters.Core(
        (
            settings_pipe.build(),
            members_pipe.build(me),
            health_pipe.build(me),
            request_pipe.build(me, codec),
        )
    )
