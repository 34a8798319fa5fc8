"""The watch on the store: few proxies of each zone hold it."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import filters, rendezvous, settings_sync, views
from fescueshunt.core import items as core_items

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.core import identity

WATCHERS_PER_ZONE = 2
WATCH_KEY = "settings-watch"
WATCH_S = 5.0
RETRY_S = 0.5
PEER_SILENCE_S = 5.0


@dataclasses.dataclass(slots=True)
class WatchState:
    """What the watch remembers.

    Attributes:
      revision: the revision in force here.
      watches: whether this proxy is one of its zone's watchers.
      read_once: whether the store was asked since the start.
      read_at: when the newest read began.
      read_again_at: None while a read is in flight.
      heard_at: when a peer last told its revision.
    """

    revision: int = 0
    watches: bool = False
    read_once: bool = False
    read_at: float = float("-inf")
    read_again_at: float | None = float("-inf")
    heard_at: float = float("-inf")


class Watch(filters.Filter):
    """Reads the store once at the start, and for ever where it is a watcher.

    A proxy that hears from no peer reads the store as a watcher does.
    """

    def __init__(self, me: identity.Identity) -> None:
        self._me = me
        self._state = WatchState()

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields reads of the store; every item passes on."""
        state = self._state
        match item:
            case views.SettingsView():
                state.revision = item.document.revision
            case views.FleetView():
                state.watches = self._is_watcher(item)
            case core_items.SettingsRead():
                state.read_again_at = max(item.at, state.read_at + RETRY_S)
            case core_items.SettingsReadFailed():
                state.read_again_at = item.at + RETRY_S
            case core_items.PeerReceived(
                message=settings_sync.SettingsDigest()
                | settings_sync.SettingsOffer()
                | settings_sync.SettingsPatch()
            ):
                state.heard_at = item.at
            case filters.Tick() if self._is_due(item.at):
                yield self._read(item.at)
        yield item

    def _is_watcher(self, fleet: views.FleetView) -> bool:
        near = [
            member.name
            for member in fleet.members
            if member.zone == self._me.zone
            and member.state is views.MemberState.LIVE
        ]
        ordered = rendezvous.sort_by_weight(
            f"{WATCH_KEY}/{self._me.zone}", near
        )
        return self._me.name in ordered[:WATCHERS_PER_ZONE]

    def _is_due(self, now: float) -> bool:
        state = self._state
        if state.read_again_at is None or now < state.read_again_at:
            return False
        is_silent = now - state.heard_at > PEER_SILENCE_S
        return state.watches or not state.read_once or is_silent

    def _read(self, now: float) -> core_items.ReadSettings:
        state = self._state
        wait_s = WATCH_S if state.read_once else 0.0
        state.read_once = True
        state.read_at = now
        state.read_again_at = None
        return core_items.ReadSettings(now, state.revision, wait_s)
