"""Processor time and memory of the proxy core, measured in this process."""

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

MS_PER_S = 1e3
US_PER_S = 1e6
BYTES_PER_KB = 1e3
DATABASE_COUNT = 20
HOME_LOOKUP_COUNT = 200


def measure_cpu_s(action: Callable[[], object]) -> float:
    """Returns the processor time that `action` takes, in seconds."""
    start = time.process_time()
    action()
    return time.process_time() - start


def measure_retained_bytes(action: Callable[[], object]) -> float:
    """Returns the bytes still allocated while the result of `action` lives."""
    tracemalloc.start()
    result = action()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return float(size)


class StatementCost(slopes.Measurement):
    """The core's processor time per statement, as entry and as home."""

    name = "statements"
    per = "statement"
    sizes = (500, 1000, 2000, 4000)

    def measure_at(self, size: int) -> Iterator[slopes.Reading]:
        """Yields the processor time of `size` reads and of `size` writes."""
        for service in (declared.READ_SERVICE, declared.WRITE_SERVICE):
            yield self._measure_entry(service, size)
            yield self._measure_home(service, size)

    def _measure_entry(self, service: str, size: int) -> slopes.Reading:
        settings = declared.make_settings(1)
        name = settings.databases[0].name
        host_list = declared.make_host_list(len(declared.ZONES))
        harness = driven.CoreHarness(host_list[-1], host_list, settings)

        def send_all() -> None:
            for _ in range(size):
                harness.send_request(service, name)

        cpu_s = measure_cpu_s(send_all)
        check_answers(harness, size)
        return slopes.Reading(
            f"core, entry, {service}", "us", size, cpu_s * US_PER_S
        )

    def _measure_home(self, service: str, size: int) -> slopes.Reading:
        settings = declared.make_settings(1)
        database = settings.databases[0]
        host_list = declared.make_host_list(len(declared.ZONES))
        harness = driven.CoreHarness(host_list[0], host_list, settings)
        upstream_name = database.upstreams[0].name

        def send_all() -> None:
            for _ in range(size):
                harness.send_forwarded_request(
                    service, upstream_name, database.name
                )
                if service == declared.WRITE_SERVICE:
                    harness.answer_status_polls()

        cpu_s = measure_cpu_s(send_all)
        check_answers(harness, size)
        return slopes.Reading(
            f"core, home, {service}", "us", size, cpu_s * US_PER_S
        )


class MemberCost(slopes.Measurement):
    """The cost of one more fleet member to each proxy."""

    name = "members"
    per = "member"
    sizes = (250, 500, 1000, 2000)

    def measure_at(self, size: int) -> Iterator[slopes.Reading]:
        """Yields the costs of a fleet of `size` proxies to one of them."""
        host_list = declared.make_host_list(size)
        view = views.FleetView(
            0.0, tuple(driven.make_member(h) for h in host_list)
        )
        yield from self._measure_rendezvous(size, view)
        yield from self._measure_core(size, host_list)
        retained_bytes = measure_retained_bytes(
            lambda: [
                driven.make_member(h) for h in declared.make_host_list(size)
            ]
        )
        yield slopes.Reading(
            "memory, one view", "KB", size, retained_bytes / BYTES_PER_KB
        )

    def _measure_core(
        self, size: int, host_list: tuple[items.Host, ...]
    ) -> Iterator[slopes.Reading]:
        start = time.process_time()
        harness = driven.CoreHarness(
            host_list[0], host_list, declared.make_settings(0)
        )
        cpu_s = time.process_time() - start
        yield slopes.Reading(
            "core, joining, for each member",
            "us",
            size,
            cpu_s * US_PER_S / size,
        )
        cpu_s = measure_cpu_s(harness.tick)
        yield slopes.Reading("core, a tick", "us", size, cpu_s * US_PER_S)
        updated_member = dataclasses.replace(
            driven.make_member(host_list[-1]), incarnation=2
        )
        ping = membership.Ping(
            1,
            host_list[0].name,
            driven.make_member(host_list[1]),
            b"",
            (updated_member,),
        )
        received_ping = items.PeerReceived(
            driven.MONOTONIC_NOW_S, host_list[1].name, ping
        )
        cpu_s = measure_cpu_s(
            lambda: harness.feed(received_ping)
        ) + measure_cpu_s(harness.tick)
        yield slopes.Reading(
            "core, a fleet change, no database", "us", size, cpu_s * US_PER_S
        )

    def _measure_rendezvous(
        self, size: int, view: views.FleetView
    ) -> Iterator[slopes.Reading]:
        databases = declared.make_settings(DATABASE_COUNT).databases
        own_name = view.members[0].name
        cpu_s = measure_cpu_s(
            lambda: homes.watched_databases(databases, view, own_name)
        )
        yield slopes.Reading(
            "homes, a fleet change, for each database",
            "ms",
            size,
            cpu_s * MS_PER_S / DATABASE_COUNT,
        )
        database = databases[0]

        def look_up_homes() -> None:
            for _ in range(HOME_LOOKUP_COUNT):
                homes.find_home(database.name, database.upstreams[0], view)

        yield slopes.Reading(
            "homes, a routed statement",
            "us",
            size,
            measure_cpu_s(look_up_homes) * US_PER_S / HOME_LOOKUP_COUNT,
        )


class TrackedDatabaseCost(slopes.Measurement):
    """The cost of one more hosted database to the core of its home."""

    name = "tracked"
    per = "database"
    sizes = (25, 50, 100, 200)

    def measure_at(self, size: int) -> Iterator[slopes.Reading]:
        """Yields the costs of `size` hosted databases to one core."""
        settings = declared.make_settings(size)
        host_list = declared.make_host_list(1)
        retained_bytes = measure_retained_bytes(
            lambda: driven.CoreHarness(host_list[0], host_list, settings)
        )
        yield slopes.Reading(
            "memory, core", "KB", size, retained_bytes / BYTES_PER_KB
        )
        harness = driven.CoreHarness(host_list[0], host_list, settings)
        cpu_s = measure_cpu_s(harness.answer_status_polls)
        yield slopes.Reading(
            "core, a status of each upstream", "us", size, cpu_s * US_PER_S
        )
        cpu_s = measure_cpu_s(harness.tick)
        yield slopes.Reading("core, a tick", "us", size, cpu_s * US_PER_S)


def check_answers(harness: driven.CoreHarness, expected: int) -> None:
    """Checks that every request was answered without an error.

    Raises:
      NoRouteError: if an answer is missing or carries an error.
    """
    if harness.answer_count != expected or harness.error_count:
        raise errors.NoRouteError(
            f"{harness.answer_count} of {expected} requests answered, "
            f"{harness.error_count} of them with an error"
        )


ALL = (StatementCost, MemberCost, TrackedDatabaseCost)
