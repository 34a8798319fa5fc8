"""Filter that watches the settings store from a few proxies of each zone."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import filters, rendezvous, settings_sync, views
from fescueshunt.core import items as core_items

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.core import identity

WATCHERS_PER_ZONE = 2
RENDEZVOUS_KEY = "settings-watch"
WATCH_TIMEOUT_S = 5.0
RETRY_DELAY_S = 0.5
PEER_SILENCE_TIMEOUT_S = 5.0


@dataclasses.dataclass(slots=True)
class WatchState:
    """The state of the filter. Times are in seconds, local clock.

    Attributes:
      revision: the revision in force in this proxy.
      is_watcher: whether this proxy is one of the watchers of its zone.
      has_read: whether a read of the store has begun since the start.
      read_started_at: when the newest read began.
      next_read_at: the earliest time of the next read; None while a read is in
        flight.
      last_peer_message_at: when a peer last sent its revision or settings.
    """

    revision: int = 0
    is_watcher: bool = False
    has_read: bool = False
    read_started_at: float = float("-inf")
    next_read_at: float | None = float("-inf")
    last_peer_message_at: float = float("-inf")


class StoreWatch(filters.Filter):
    """Reads the store once at the start and, in a watcher, continuously.

    WATCHERS_PER_ZONE proxies of each zone are watchers. A proxy that has had no
    settings message from a peer for PEER_SILENCE_TIMEOUT_S reads the store as a
    watcher does.
    """

    def __init__(self, local_proxy: identity.Identity) -> None:
        self._local_proxy = local_proxy
        self._state = WatchState()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields reads of the store; every item passes through."""
        state = self._state
        match item:
            case views.SettingsView():
                state.revision = item.document.revision
            case views.FleetView():
                state.is_watcher = self._is_watcher(item)
            case core_items.SettingsRead():
                state.next_read_at = max(
                    item.at, state.read_started_at + RETRY_DELAY_S
                )
            case core_items.SettingsReadFailed():
                state.next_read_at = item.at + RETRY_DELAY_S
            case core_items.PeerReceived(
                message=settings_sync.SettingsDigest()
                | settings_sync.SettingsOffer()
                | settings_sync.SettingsPatch()
            ):
                state.last_peer_message_at = item.at
            case filters.Tick() if self._is_due(item.at):
                yield self._start_read(item.at)
        yield item

    def _is_watcher(self, fleet: views.FleetView) -> bool:
        live_names = [
            member.name
            for member in fleet.members
            if member.zone == self._local_proxy.zone
            and member.state is views.MemberState.LIVE
        ]
        ordered = rendezvous.sort_by_weight(
            f"{RENDEZVOUS_KEY}/{self._local_proxy.zone}", live_names
        )
        return self._local_proxy.name in ordered[:WATCHERS_PER_ZONE]

    def _is_due(self, now: float) -> bool:
        state = self._state
        if state.next_read_at is None or now < state.next_read_at:
            return False
        are_peers_silent = (
            now - state.last_peer_message_at > PEER_SILENCE_TIMEOUT_S
        )
        return state.is_watcher or not state.has_read or are_peers_silent

    def _start_read(self, now: float) -> core_items.ReadSettings:
        state = self._state
        wait_s = WATCH_TIMEOUT_S if state.has_read else 0.0
        state.has_read = True
        state.read_started_at = now
        state.next_read_at = None
        return core_items.ReadSettings(now, state.revision, wait_s)
