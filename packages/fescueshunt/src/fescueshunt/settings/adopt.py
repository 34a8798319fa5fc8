"""Filter that decides which settings are in force.

The revision in force never decreases.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import document, filters, patch, settings_sync, views
from fescueshunt.core import items as core_items

if TYPE_CHECKING:
    from collections.abc import Iterator

JOIN_TIMEOUT_S = 1.0
MIN_PEER_ANSWERS = 2


@dataclasses.dataclass(slots=True)
class AdoptState:
    """The state of the filter.

    Attributes:
      document: the document with the highest revision received so far.
      published_revision: the highest revision published so far.
      first_fleet_view_at: when the first fleet view arrived; seconds, local
        clock. None before that.
      joined: whether the proxy no longer waits for the store and its peers
        before it publishes settings.
      store_answered: whether the store has been read successfully.
      answered: the names of the peers that have reported their revision.
      peer_count: the number of other proxies in the fleet view.
    """

    document: document.Document = document.Document()
    published_revision: int = 0
    first_fleet_view_at: float | None = None
    joined: bool = False
    store_answered: bool = False
    answered: set[str] = dataclasses.field(default_factory=set)
    peer_count: int = 0


class Adopt(filters.Filter):
    """Publishes each higher revision once, whether from the store or a peer.

    After its start, a proxy first waits for answers from the store and from
    MIN_PEER_ANSWERS peers (from all, if there are fewer), for at most
    JOIN_TIMEOUT_S. Otherwise a stale read from the store could put an old
    revision in force.
    """

    def __init__(self) -> None:
        self._state = AdoptState()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields settings views; every item passes through."""
        match item:
            case core_items.SettingsRead():
                self._state.store_answered = True
                self._update_newest(item.document)
            case core_items.SettingsAccepted():
                self._update_newest(item.document)
            case core_items.PeerReceived(
                sender=sender,
                message=settings_sync.SettingsOffer(document=offered),
            ):
                self._state.answered.add(sender)
                self._update_newest(offered)
            case core_items.PeerReceived(
                message=settings_sync.SettingsPatch(patch=received_patch)
            ):
                if received_patch.base == self._state.document.revision:
                    self._update_newest(
                        patch.apply(self._state.document, received_patch)
                    )
            case core_items.PeerReceived(
                sender=sender,
                message=settings_sync.SettingsDigest(asks=False),
            ):
                self._state.answered.add(sender)
            case views.FleetView():
                self._state.peer_count = len(item.members) - 1
                if self._state.first_fleet_view_at is None:
                    self._state.first_fleet_view_at = item.at
        yield from self._publish(item.at)
        yield item

    def _update_newest(self, offered: document.Document) -> None:
        if offered.revision > self._state.document.revision:
            self._state.document = offered

    def _publish(self, now: float) -> Iterator[filters.Item]:
        state = self._state
        if (
            state.document.revision == state.published_revision
            or not self._has_joined(now)
        ):
            return
        state.published_revision = state.document.revision
        yield views.SettingsView(now, state.document)

    def _has_joined(self, now: float) -> bool:
        """Returns whether the wait for the store and the peers is over."""
        state = self._state
        if not state.joined:
            state.joined = (
                self._has_join_timed_out(now) or self._has_enough_answers()
            )
            if state.joined:
                state.answered.clear()
        return state.joined

    def _has_join_timed_out(self, now: float) -> bool:
        first_fleet_view_at = self._state.first_fleet_view_at
        return (
            first_fleet_view_at is not None
            and now - first_fleet_view_at >= JOIN_TIMEOUT_S
        )

    def _has_enough_answers(self) -> bool:
        state = self._state
        if not state.store_answered:
            return False
        return (
            0 < min(state.peer_count, MIN_PEER_ANSWERS) <= len(state.answered)
        )
