"""Tracks calls for promotions that may still take effect.

A call whose answer is lost may be carried out seconds after its sender has
given it up, or has ended, and the platform does not check fencing tokens. Until
such a call is known to have taken effect or has expired, no other upstream of
the database may be promoted or relied on, and no other holder of the duty may
send a call, which the older one could overtake.

The calls are part of the leadership record, which is written before a call is
sent. The next holder finds them there.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import leadership

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.core import store_items

# A call is sent within 0.5 s, delivered within 1 s even if its sender is
# suspended, and carried out up to 6 s late. The upstream leads 1 s after that.
CALL_LIFETIME_S = 9.0

Recorded = tuple[leadership.RecordedCall, ...]


@dataclasses.dataclass(slots=True)
class OpenCall:
    """The calls for one upstream under one fencing token.

    Attributes:
      count: how many of them may still take effect.
      expires_at: when none of them can arrive any more, in seconds on this
        host's clock.
    """

    upstream: str
    token: int
    count: int
    expires_at: float

    def is_open(self, now: float) -> bool:
        """Returns whether one of the calls may still take effect."""
        return self.count > 0 and now < self.expires_at

    def to_record(self, now: float) -> leadership.RecordedCall:
        """Returns the calls as they stand in the leadership record."""
        count = self.count if self.is_open(now) else 0
        return leadership.RecordedCall(self.upstream, self.token, count)


class PromotionCalls:
    """The calls of all databases since their last recorded primary.

    Calls that have expired are among them, as they may have taken effect
    without having been seen.
    """

    def __init__(self) -> None:
        self._token = 0
        self._calls: dict[str, list[OpenCall]] = collections.defaultdict(list)

    def take_duty(self, token: int) -> None:
        """Begins a new term of duty; the calls so far are in the records."""
        if token not in (0, self._token):
            self._token = token
            self._calls.clear()

    def load(self, database: str, recorded: Recorded, now: float) -> None:
        """Adds calls of former holders, which may have been sent by `now`."""
        known = {(c.upstream, c.token) for c in self._calls[database]}
        for call in recorded:
            if (call.upstream, call.token) not in known:
                expires_at = now + CALL_LIFETIME_S
                self._calls[database].append(
                    OpenCall(call.upstream, call.token, call.count, expires_at)
                )

    def forget_unrecorded(self, database: str, recorded: Recorded) -> None:
        """Forgets the calls that are not in a new primary's record."""
        counts = {(c.upstream, c.token): c.count for c in recorded}
        kept = []
        for call in self._calls[database]:
            count = counts.get((call.upstream, call.token))
            if count is not None:
                call.count = min(call.count, count)
                kept.append(call)
        self._calls[database] = kept

    def add_sent(self, item: store_items.CallPromotion) -> None:
        """Adds a call that is sent now."""
        call = self._own_call(item.database, item.upstream)
        if call is None:
            call = OpenCall(item.upstream, self._token, 0, item.at)
            self._calls[item.database].append(call)
        call.count += 1
        call.expires_at = item.at + CALL_LIFETIME_S

    def handle_answer(self, item: store_items.PromotionCompleted) -> None:
        """Removes a call that was refused."""
        call = self._own_call(item.database, item.upstream)
        if call is None or item.done is not False:
            return
        call.count -= 1
        if call.count <= 0:
            self._calls[item.database].remove(call)

    def to_record(self, database: str, now: float) -> Recorded:
        """Returns the calls for the record of a primary that is replaced."""
        return tuple(call.to_record(now) for call in self._calls[database])

    def record_with_call(
        self, database: str, upstream: str, now: float
    ) -> Recorded:
        """Returns the same with a further call, which is to be sent."""
        own = self._own_call(database, upstream)
        added = leadership.RecordedCall(
            upstream, self._token, own.count + 1 if own is not None else 1
        )
        others = (c for c in self._calls[database] if c is not own)
        return (*(call.to_record(now) for call in others), added)

    def record_for_primary(
        self, database: str, primary: str, now: float
    ) -> Recorded:
        """Returns the calls for the record of a new primary.

        One call for it has taken effect, and no other one needs to be kept
        longer than it is open.
        """
        remaining = []
        for call in self._calls[database]:
            recorded = call.to_record(now)
            count = recorded.count - (call.upstream == primary)
            if count > 0:
                remaining.append(dataclasses.replace(recorded, count=count))
        return tuple(remaining)

    def has_calls(self, database: str) -> bool:
        """Returns whether the record may be older than a promotion."""
        return bool(self._calls[database])

    def has_calls_for_others(self, database: str, upstream: str) -> bool:
        """Returns whether another member may lead in place of `upstream`.

        Calls that have expired count, as one of them may have taken effect.
        """
        return any(call.upstream != upstream for call in self._calls[database])

    def open_targets(self, database: str, now: float) -> frozenset[str]:
        """Returns the upstreams whose promotion may still take effect."""
        return frozenset(call.upstream for call in self._open(database, now))

    def is_only_open_target(
        self, database: str, upstream: str, now: float
    ) -> bool:
        """Returns whether no other upstream can still be promoted."""
        return self.open_targets(database, now) <= {upstream}

    def may_call(self, database: str, upstream: str, now: float) -> bool:
        """Returns whether a call for `upstream` may be sent.

        Calls of former holders hold up those of every database, as their
        fencing tokens are lower.
        """
        has_former_call = any(
            call.token != self._token
            for other in list(self._calls)
            for call in self._open(other, now)
        )
        return not has_former_call and self.is_only_open_target(
            database, upstream, now
        )

    def _open(self, database: str, now: float) -> Iterator[OpenCall]:
        return (call for call in self._calls[database] if call.is_open(now))

    def _own_call(self, database: str, upstream: str) -> OpenCall | None:
        for call in self._calls[database]:
            if (call.upstream, call.token) == (upstream, self._token):
                return call
        return None
