"""Asks members for their status, where there is doubt.

Ordinary replies tell most. A status call goes to a member that is suspected,
and to two members of a set whose primary must be confirmed without the store.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import (
    filters,
    replica_sets,
    session_items,
    sessions,
)
from fescueshunt.replicas import items

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

EVERY_S = 0.25
TIMEOUT_S = 0.5
# A member under suspicion is asked until it has answered, or for this long.
SUSPECT_FOR_S = 20.0
WANTED_FOR_S = 0.2


@dataclasses.dataclass(slots=True)
class Asked:
    """The calls to one member.

    Attributes:
      due_at: when it may be asked next.
      waiting: whether an answer is awaited.
      until: it is asked until then.
      until_answered: whether an answer ends that.
    """

    due_at: float = 0.0
    waiting: bool = False
    until: float = replica_sets.NEVER
    until_answered: bool = False


class PollStatus(filters.Filter):
    """Keeps a status call in flight, or due, for each member in doubt."""

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance
        self._asked: dict[str, Asked] = {}
        self._members: dict[str, frozenset[str]] = {}

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields the status calls that are due."""
        match item:
            case filters.Tick():
                yield from self._ask_due(item.at)
                yield item
            case items.MembersChanged():
                self._change(item)
                yield item
            case session_items.UpstreamSuspected():
                self._suspect(item)
                yield item
            case session_items.ConfirmationRequested():
                for name in self._members.get(item.database, ()):
                    self._want(name, item.at)
            case session_items.UpstreamCallCompleted():
                self._answered(item)
                yield item
            case _:
                yield item

    def _change(self, item: items.MembersChanged) -> None:
        names = frozenset(entry.upstream for entry in item.entries)
        for gone in self._members.get(item.database, frozenset()) - names:
            self._asked.pop(gone, None)
        self._members[item.database] = names

    def _suspect(self, item: session_items.UpstreamSuspected) -> None:
        asked = self._asked.setdefault(item.upstream, Asked())
        asked.until = item.at + SUSPECT_FOR_S
        asked.until_answered = True

    def _want(self, upstream: str, now: float) -> None:
        asked = self._asked.setdefault(upstream, Asked())
        if asked.until < now + WANTED_FOR_S:
            asked.until = now + WANTED_FOR_S
            asked.until_answered = False

    def _answered(self, item: session_items.UpstreamCallCompleted) -> None:
        asked = self._asked.get(item.upstream)
        if asked is None or not isinstance(item.call, sessions.GetStatus):
            return
        asked.waiting = False
        asked.due_at = item.at + EVERY_S * self._chance.uniform(0.8, 1.0)
        if item.reply is not None and asked.until_answered:
            asked.until = replica_sets.NEVER

    def _ask_due(self, now: float) -> Iterator[filters.Item]:
        for upstream, asked in self._asked.items():
            if asked.waiting or now < asked.due_at or now > asked.until:
                continue
            asked.waiting = True
            yield session_items.CallUpstream(
                now, upstream, sessions.GetStatus(), now + TIMEOUT_S
            )
