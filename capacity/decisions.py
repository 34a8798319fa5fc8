"""Processor time and memory of the decisions, by plain calls."""

from __future__ import annotations

import dataclasses
import time
import tracemalloc
from typing import TYPE_CHECKING

from capacity import declared, driven, slopes
from fescueshunt import errors
from fescueshunt.core import homes, items, membership, views

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

MS = 1e3
US = 1e6
KB = 1e3
DATABASES_RANKED = 20
HOMES_ASKED = 200


def timed(action: Callable[[], object]) -> float:
    """Returns the processor time that `action` takes; seconds."""
    start = time.process_time()
    action()
    return time.process_time() - start


def allocated(action: Callable[[], object]) -> float:
    """Returns the bytes that the result of `action` keeps allocated."""
    tracemalloc.start()
    kept = action()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(size)


class Statements(slopes.Measure):
    """What the core spends on a statement, as entry and as home."""

    name = "statements"
    per = "statement"
    sizes = (500, 1000, 2000, 4000)

    def take(self, size: int) -> Iterator[slopes.Reading]:
        """Yields the processor time of `size` statements."""
        for service in (declared.READ, declared.WRITE):
            yield self._entry(service, size)
            yield self._home(service, size)

    def _entry(self, service: str, size: int) -> slopes.Reading:
        settings = declared.declare(1)
        name = settings.databases[0].name
        fleet = declared.hosts(len(declared.ZONES))
        core = driven.Driven(fleet[-1], fleet, settings)

        def run() -> None:
            for _ in range(size):
                core.ask(service, name)

        spent_s = timed(run)
        check(core, size)
        return slopes.Reading(
            f"core, entry, {service}", "us", size, spent_s * US
        )

    def _home(self, service: str, size: int) -> slopes.Reading:
        settings = declared.declare(1)
        database = settings.databases[0]
        fleet = declared.hosts(len(declared.ZONES))
        core = driven.Driven(fleet[0], fleet, settings)
        member = database.upstreams[0].name

        def run() -> None:
            for _ in range(size):
                core.forward(service, member, database.name)
                if service == declared.WRITE:
                    core.report()

        spent_s = timed(run)
        check(core, size)
        return slopes.Reading(
            f"core, home, {service}", "us", size, spent_s * US
        )


class Members(slopes.Measure):
    """What one more member of the fleet costs every proxy."""

    name = "members"
    per = "member"
    sizes = (250, 500, 1000, 2000)

    def take(self, size: int) -> Iterator[slopes.Reading]:
        """Yields the costs of a fleet of `size` proxies."""
        fleet = declared.hosts(size)
        view = views.FleetView(0.0, tuple(driven.member(h) for h in fleet))
        yield from self._rendezvous(size, view)
        yield from self._core(size, fleet)
        kept = allocated(
            lambda: [driven.member(h) for h in declared.hosts(size)]
        )
        yield slopes.Reading("memory, one view", "KB", size, kept / KB)

    def _core(
        self, size: int, fleet: tuple[items.Host, ...]
    ) -> Iterator[slopes.Reading]:
        start = time.process_time()
        core = driven.Driven(fleet[0], fleet, declared.declare(0))
        spent_s = time.process_time() - start
        yield slopes.Reading(
            "core, joining, for each member", "us", size, spent_s * US / size
        )
        spent_s = timed(core.tick)
        yield slopes.Reading("core, a tick", "us", size, spent_s * US)
        newer = dataclasses.replace(driven.member(fleet[-1]), incarnation=2)
        ping = membership.Ping(
            1, fleet[0].name, driven.member(fleet[1]), b"", (newer,)
        )
        heard = items.PeerReceived(driven.NOW, fleet[1].name, ping)
        spent_s = timed(lambda: core.feed(heard)) + timed(core.tick)
        yield slopes.Reading(
            "core, a fleet change, no database", "us", size, spent_s * US
        )

    def _rendezvous(
        self, size: int, view: views.FleetView
    ) -> Iterator[slopes.Reading]:
        databases = declared.declare(DATABASES_RANKED).databases
        me = view.members[0].name
        spent_s = timed(lambda: homes.watched_databases(databases, view, me))
        yield slopes.Reading(
            "homes, a fleet change, for each database",
            "ms",
            size,
            spent_s * MS / DATABASES_RANKED,
        )
        database = databases[0]

        def route() -> None:
            for _ in range(HOMES_ASKED):
                homes.find_home(database.name, database.upstreams[0], view)

        yield slopes.Reading(
            "homes, a routed statement",
            "us",
            size,
            timed(route) * US / HOMES_ASKED,
        )


class Tracked(slopes.Measure):
    """What one more hosted database costs the core of its home."""

    name = "tracked"
    per = "database"
    sizes = (25, 50, 100, 200)

    def take(self, size: int) -> Iterator[slopes.Reading]:
        """Yields the costs of `size` hosted databases."""
        settings = declared.declare(size)
        fleet = declared.hosts(1)
        kept = allocated(lambda: driven.Driven(fleet[0], fleet, settings))
        yield slopes.Reading("memory, core", "KB", size, kept / KB)
        core = driven.Driven(fleet[0], fleet, settings)
        spent_s = timed(core.report)
        yield slopes.Reading(
            "core, a status of each upstream", "us", size, spent_s * US
        )
        spent_s = timed(core.tick)
        yield slopes.Reading("core, a tick", "us", size, spent_s * US)


def check(core: driven.Driven, wanted: int) -> None:
    """Checks that every request had an answer, and a good one.

    Raises:
      NoRouteError: if one had not.
    """
    if core.answered != wanted or core.failed:
        raise errors.NoRouteError(
            f"{core.answered} answers of {wanted}, {core.failed} failed"
        )


ALL = (Statements, Members, Tracked)
