"""Settings pipes of many proxies on a fake network, store and clock."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import random

from fescueshunt import errors
from fescueshunt.core import document, filters, identity, items, views
from fescueshunt.settings import pipe

TICK_S = 0.02
HOP_S = 0.0014


@dataclasses.dataclass(slots=True)
class FakeStore:
    """Holds documents; may be down, or answer with an older one."""

    history: list[document.Document] = dataclasses.field(
        default_factory=lambda: [document.Document()]
    )
    down: bool = False
    past: int = 0
    calls: int = 0

    def read(self) -> document.Document:
        """Returns the newest document, or the one `past` revisions before."""
        return self.history[max(len(self.history) - 1 - self.past, 0)]

    def accept(self) -> document.Document:
        """Puts the next revision into the store."""
        accepted = document.Document(revision=len(self.history))
        self.history.append(accepted)
        return accepted


class SettingsFleet:
    """Drives one settings pipe for each proxy."""

    def __init__(self, size: int, zones: int = 4, seed: int = 1) -> None:
        self.now = 0.0
        self.store = FakeStore()
        self.in_force: dict[str, list[int]] = {}
        self.sent = collections.Counter()
        self._size = size
        self._seed = seed
        self._cores: dict[str, filters.Core] = {}
        self._due: list = []
        self._order = itertools.count()
        self._view = views.FleetView(
            0.0,
            tuple(
                views.Member(f"p{n}", f"z{n % zones}", "", 1)
                for n in range(size)
            ),
        )

    def start(self, name: str) -> None:
        """Starts, or starts anew, the proxy `name`."""
        member = self._view.find(name)
        me = identity.Identity(name, member.zone, "")
        rng = random.Random(f"{self._seed}/{name}")
        self._cores[name] = filters.Core((pipe.build(me, rng),))
        self.in_force[name] = []
        self.feed(name, dataclasses.replace(self._view, at=self.now))

    def start_all(self) -> None:
        """Starts every proxy."""
        for member in self._view.members:
            self.start(member.name)

    def run(self, seconds: float) -> None:
        """Lets time pass; proxies tick apart from each other."""
        end = self.now + seconds
        tick_at = self.now
        while tick_at < end:
            tick_at += TICK_S
            self._deliver(tick_at)
            self.now = tick_at
            for name in tuple(self._cores):
                self.feed(name, filters.Tick(tick_at, tick_at))

    def feed(self, name: str, item: filters.Item) -> None:
        """Feeds one item to a proxy and schedules what it causes."""
        for effect in self._cores[name].feed(item):
            match effect:
                case views.SettingsView():
                    self.in_force[name].append(effect.document.revision)
                case items.SendPeer():
                    self.sent[type(effect.message).__name__] += 1
                    self._at(
                        self.now + HOP_S,
                        effect.name,
                        items.PeerReceived(0.0, name, effect.message),
                    )
                case items.ReadSettings():
                    self._read(name, effect)

    def revisions(self) -> set[int]:
        """Returns the revisions in force, over all proxies; 0 for none."""
        return {max(seen, default=0) for seen in self.in_force.values()}

    def _read(self, name: str, call: items.ReadSettings) -> None:
        self.store.calls += 1
        is_new = self.store.read().revision > call.above
        wait_s = HOP_S if is_new or self.store.past else call.wait_s + HOP_S
        self._at(self.now + wait_s, name, call)

    def _answer(self, name: str) -> None:
        if self.store.down:
            failed = errors.StoreUnavailableError()
            self.feed(name, items.SettingsReadFailed(self.now, failed))
            return
        found = self.store.read()
        self.feed(name, items.SettingsRead(self.now, found, found.revision))

    def wake_watches(self) -> None:
        """Answers every watch that waits, as the store does on a change."""
        due, self._due = self._due, []
        for at, _, name, item in due:
            is_watch = isinstance(item, items.ReadSettings)
            self._at(self.now + HOP_S if is_watch else at, name, item)

    def _at(self, at: float, name: str, item: filters.Item) -> None:
        heapq.heappush(self._due, (at, next(self._order), name, item))

    def _deliver(self, until: float) -> None:
        while self._due and self._due[0][0] <= until:
            at, _, name, item = heapq.heappop(self._due)
            if name not in self._cores:
                continue
            self.now = at
            if isinstance(item, items.ReadSettings):
                self._answer(name)
            else:
                self.feed(name, dataclasses.replace(item, at=at))
