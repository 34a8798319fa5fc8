"""Hints of homes that were too busy, kept at the entry for a short time.

While a hint holds, the entry sends the same caller's work of the same rank
elsewhere, or refuses it at once. So a flood is refused where it comes in and
doesn't spend the homes' time. A hint ends long before the home's queue is
empty.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt import errors

if TYPE_CHECKING:
    from fescueshunt.core import request
    from fescueshunt.request import items

TARGET_SHARE = 1 / 8


@dataclasses.dataclass(frozen=True, slots=True)
class Subject:
    """Whose work a hint is about."""

    database: str
    order: int
    caller: str


class Hints:
    """The upstreams that have no time for a caller's work of a rank."""

    def __init__(self) -> None:
        self._until: dict[Subject, dict[str, float]] = {}

    def note(
        self, work: items.Work, answer: request.Answer, now: float
    ) -> None:
        """Takes in the answer of another proxy to `work`."""
        error = answer.error
        if not isinstance(error, errors.OverloadedError) or not answer.upstream:
            return
        holds_s = min(error.retry_after_s, work.rank.target_s * TARGET_SHARE)
        named = self._until.setdefault(subject_of(work), {})
        named[answer.upstream] = now + holds_s

    def busy(self, work: items.Work, now: float) -> frozenset[str]:
        """Returns the upstreams that shall not get `work` now."""
        if not self._until:
            return frozenset()
        named = self._until.get(subject_of(work), {})
        return frozenset(name for name, until in named.items() if until > now)

    def forget(self, now: float) -> None:
        """Drops the hints that are over."""
        for subject, named in list(self._until.items()):
            if max(named.values()) <= now:
                del self._until[subject]


def subject_of(work: items.Work) -> Subject:
    """Returns whose work `work` is."""
    return Subject(work.req.database, work.rank.order, work.req.caller)
