"""Asks every member for its standing, again and again."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import filters, session_items, sessions
from fescueshunt.replicas import items

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

EVERY_S = 0.3
TIMEOUT_S = 0.6


@dataclasses.dataclass(slots=True)
class Asked:
    """When a member is asked next, and whether an answer is awaited."""

    due_at: float
    waiting: bool = False


class Poll(filters.Filter):
    """Keeps one status call in flight, or due, for each member."""

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance
        self._asked: dict[str, Asked] = {}
        self._members: dict[str, frozenset[str]] = {}

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields the status calls that are due."""
        match item:
            case filters.Tick():
                yield from self._ask_due(item.at)
            case items.MembersChanged():
                self._change(item)
                yield item
            case session_items.UpstreamAnswered():
                self._answered(item)
                yield item
            case _:
                yield item

    def _change(self, item: items.MembersChanged) -> None:
        names = frozenset(entry.upstream for entry in item.entries)
        for gone in self._members.get(item.database, frozenset()) - names:
            self._asked.pop(gone, None)
        self._members[item.database] = names
        for name in names:
            asked = self._asked.setdefault(name, Asked(item.at))
            asked.due_at = item.at

    def _answered(self, item: session_items.UpstreamAnswered) -> None:
        asked = self._asked.get(item.upstream)
        if asked is None or not isinstance(item.call, sessions.AskStatus):
            return
        asked.waiting = False
        asked.due_at = item.at + EVERY_S * self._chance.uniform(0.8, 1.1)

    def _ask_due(self, now: float) -> Iterator[filters.Item]:
        for upstream, asked in self._asked.items():
            if asked.waiting or now < asked.due_at:
                continue
            asked.waiting = True
            yield session_items.AskUpstream(
                now, upstream, sessions.AskStatus(), now + TIMEOUT_S
            )
