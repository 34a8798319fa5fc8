"""Overload hints, which entry proxies keep about upstreams.

When a home proxy refuses a request for overload, the entry proxy records a
hint. Until the hint expires, the entry proxy sends requests of the same caller,
database and rank to another upstream, or refuses them at once. A flood is thus
refused where it enters and costs the home proxies no time. A hint expires long
before the queue at the home proxy is empty.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt import errors

if TYPE_CHECKING:
    from fescueshunt.core import request
    from fescueshunt.request import items

MAX_SHARE_OF_TARGET = 1 / 8


@dataclasses.dataclass(frozen=True, slots=True)
class HintKey:
    """Selects the requests to which a hint applies."""

    database: str
    rank_order: int
    caller: str


class OverloadHints:
    """The upstreams that recently refused requests for overload.

    Expiry times are kept by hint key and upstream; seconds, local clock.
    """

    def __init__(self) -> None:
        self._expiries: dict[HintKey, dict[str, float]] = {}

    def record(
        self, work: items.Work, answer: request.Answer, now: float
    ) -> None:
        """Records a hint if another proxy's answer to `work` reports overload.

        The hint lasts for the retry interval of the answer, but not longer than
        the share MAX_SHARE_OF_TARGET of the target latency.
        """
        error = answer.error
        if not isinstance(error, errors.OverloadedError) or not answer.upstream:
            return
        lifetime_s = min(
            error.retry_after_s, work.rank.target_s * MAX_SHARE_OF_TARGET
        )
        expiries = self._expiries.setdefault(hint_key(work), {})
        expiries[answer.upstream] = now + lifetime_s

    def overloaded_upstreams(
        self, work: items.Work, now: float
    ) -> frozenset[str]:
        """Returns the upstreams with an unexpired hint for `work`."""
        if not self._expiries:
            return frozenset()
        expiries = self._expiries.get(hint_key(work), {})
        return frozenset(
            name for name, expires_at in expiries.items() if expires_at > now
        )

    def remove_expired(self, now: float) -> None:
        """Removes the entries whose hints have all expired."""
        for key, expiries in list(self._expiries.items()):
            if max(expiries.values()) <= now:
                del self._expiries[key]


def hint_key(work: items.Work) -> HintKey:
    """Returns the key of the hints that apply to `work`."""
    return HintKey(work.req.database, work.rank.order, work.req.caller)
