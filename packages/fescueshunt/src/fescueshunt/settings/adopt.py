"""Adoption: which settings are in force here. Revisions never go back."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import document, filters, patch, settings_sync, views
from fescueshunt.core import items as core_items

if TYPE_CHECKING:
    from collections.abc import Iterator

JOIN_WAIT_S = 1.0
JOIN_PEERS = 2


@dataclasses.dataclass(slots=True)
class AdoptState:
    """What adoption remembers.

    Attributes:
      document: the highest revision ever offered.
      in_force: the highest revision ever published.
      found_at: when the fleet was first known; None before it.
      joined: whether the offers of peers and store are gathered.
      store_answered: whether the store has told what it holds.
      answered: the proxies that have told what they hold.
      peers: the number of other proxies that may answer.
    """

    document: document.Document = document.Document()
    in_force: int = 0
    found_at: float | None = None
    joined: bool = False
    store_answered: bool = False
    answered: set[str] = dataclasses.field(default_factory=set)
    peers: int = 0


class Adopt(filters.Filter):
    """Publishes each higher revision once, whoever offers it.

    A proxy that starts gathers what peers and store hold first, so that a
    store that answers from the past doesn't put an old revision in force.
    """

    def __init__(self) -> None:
        self._state = AdoptState()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields settings views; every item passes on."""
        match item:
            case core_items.SettingsRead():
                self._state.store_answered = True
                self._take(item.document)
            case core_items.SettingsAccepted():
                self._take(item.document)
            case core_items.PeerReceived(
                sender=sender,
                message=settings_sync.SettingsOffer(document=offered),
            ):
                self._state.answered.add(sender)
                self._take(offered)
            case core_items.PeerReceived(
                message=settings_sync.SettingsPatch(patch=found)
            ):
                if found.base == self._state.document.revision:
                    self._take(patch.apply(self._state.document, found))
            case core_items.PeerReceived(
                sender=sender,
                message=settings_sync.SettingsDigest(asks=False),
            ):
                self._state.answered.add(sender)
            case views.FleetView():
                self._state.peers = len(item.members) - 1
                if self._state.found_at is None:
                    self._state.found_at = item.at
        yield from self._publish(item.at)
        yield item

    def _take(self, offered: document.Document) -> None:
        if offered.revision > self._state.document.revision:
            self._state.document = offered

    def _publish(self, now: float) -> Iterator[filters.Item]:
        state = self._state
        if state.document.revision == state.in_force or not self._joins(now):
            return
        state.in_force = state.document.revision
        yield views.SettingsView(now, state.document)

    def _joins(self, now: float) -> bool:
        """Tells whether store and peers have had their say."""
        state = self._state
        if not state.joined:
            state.joined = self._has_waited(now) or self._has_heard()
            if state.joined:
                state.answered.clear()
        return state.joined

    def _has_waited(self, now: float) -> bool:
        found_at = self._state.found_at
        return found_at is not None and now - found_at >= JOIN_WAIT_S

    def _has_heard(self) -> bool:
        state = self._state
        if not state.store_answered:
            return False
        return 0 < min(state.peers, JOIN_PEERS) <= len(state.answered)
