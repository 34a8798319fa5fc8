"""Acknowledgement: when a committed write may be called done."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import document, filters, views
from fescueshunt.request import items, outcome, route

if TYPE_CHECKING:
    from collections.abc import Iterator


class Acknowledge(filters.Filter):
    """Holds commits until a majority of the group is seen to have them.

    A write whose term is over before that goes back to be settled by the
    ledger at the new primary. One that isn't confirmed by its deadline has an
    unknown outcome.
    """

    def __init__(self) -> None:
        self._held: dict[str, list[items.Committed]] = {}
        self._groups: dict[str, views.GroupView] = {}

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields the answers of commits as the group view confirms them."""
        match item:
            case items.Committed():
                database = item.work.req.database
                self._held.setdefault(database, []).append(item)
                yield from self._review(database, item.at)
            case views.GroupView():
                self._groups[item.database] = item
                yield item
                yield from self._review(item.database, item.at)
            case filters.Tick():
                yield item
                for database in list(self._held):
                    yield from self._review(database, item.at)
            case _:
                yield item

    def _review(self, database: str, now: float) -> Iterator[filters.Item]:
        view = self._groups.get(database)
        kept: list[items.Committed] = []
        for held in self._held.pop(database, []):
            decided = _decide(held, view, now)
            if decided is None:
                kept.append(held)
            else:
                yield decided
        if kept:
            self._held[database] = kept


def _decide(
    held: items.Committed, view: views.GroupView | None, now: float
) -> filters.Item | None:
    if view is not None and view.term > held.position.term:
        return _settle(held, view, now)
    if view is not None and is_confirmed(held, view):
        token = held.position if held.answer.error is None else None
        answer = dataclasses.replace(held.answer, token=token)
        work = dataclasses.replace(held.work, in_doubt=False)
        return outcome.finish(now, work, answer)
    if now >= held.work.deadline:
        return outcome.expire(now, held.work)
    return None


def is_confirmed(held: items.Committed, view: views.GroupView) -> bool:
    """Tells whether the durability that the service declares is reached."""
    if held.work.service.durability is document.Durability.PRIMARY:
        return view.confirmed_at >= held.at
    return view.count_holders(held.position) >= len(view.states) // 2 + 1


def _settle(
    held: items.Committed, view: views.GroupView, now: float
) -> items.Retried:
    work = dataclasses.replace(
        held.work,
        in_doubt=True,
        suggested="",
        error=errors.NoPrimaryError("the term is over"),
    )
    return items.Retried(now, work, route.brief_of(view))
