"""A small deployment of three zones for tests on real processes."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator

from fescueshunt.core import document, position, ranks, request, upstream
from fescueshunt_cli import caller
from fescueshunt_cli._internal.bench import writers
from fescueshunt_standins import fleet as fleets

ZONES = ("mct-ruwi", "mct-seeb", "mct-qurum")
DATABASE = "renew-1"
WRITES = "renew-card"
READS = "counter-read"
READY_TIMEOUT_S = 60.0
PAUSE_S = 0.05
ALL_ROWS = request.Statement("SELECT key FROM written")
ZERO = request.Statement("SELECT 0")


def declared(durability: document.Durability) -> document.Document:
    """Returns the document of one database in three zones."""
    members = tuple(
        document.Upstream(f"renew-1-{letter}", zone, "127.0.0.1:1")
        for letter, zone in zip("abc", ZONES, strict=True)
    )
    return document.Document(
        ranks=(ranks.Rank("urgent", 0, 0.3, 20.0, 0.4),),
        groups=(document.Group("renew-core", 5, 55),),
        databases=(document.Database(DATABASE, "renew-core", members),),
        services=(
            document.Service(WRITES, "renew-core", "urgent", True, durability),
            document.Service(READS, "renew-core", "urgent"),
        ),
    )


@contextlib.asynccontextmanager
async def running(
    durability: document.Durability = document.Durability.MAJORITY,
    proxies_per_zone: int = 1,
    proxy: tuple[tuple[str, object], ...] = (),
) -> AsyncIterator[fleets.Fleet]:
    """Starts the deployment and waits until every proxy serves.

    `proxy` has settings that every proxy gets.
    """
    site = fleets.Site(
        schema_sql=writers.SCHEMA,
        proxies_per_zone=proxies_per_zone,
        list_lag_ms=0.0,
        proxy=proxy,
    )
    async with fleets.running(declared(durability), site, ZONES) as fleet:
        await wait_fleet_known(fleet)
        for process in fleet.proxies.values():
            await wait_served(process.address)
        yield fleet


async def wait_fleet_known(fleet: fleets.Fleet) -> None:
    """Waits until every proxy has logged a fleet with all the others."""
    async with asyncio.timeout(READY_TIMEOUT_S):
        for name in fleet.proxies:
            while not _knows_all(fleet, name):
                await asyncio.sleep(PAUSE_S)


def _knows_all(fleet: fleets.Fleet, name: str) -> bool:
    lines = (fleet.folder / f"{name}.log").read_text().splitlines()
    found = [json.loads(line) for line in lines if '"fleet_changed"' in line]
    known = {member for line in found for member in line["changed"]}
    return fleet.proxies.keys() <= known


async def wait_served(address: str) -> None:
    """Waits until a read of the primary succeeds through a proxy."""
    async with (
        asyncio.timeout(READY_TIMEOUT_S),
        caller.session(address) as session,
    ):
        while (await session.read(READS, DATABASE, ZERO)).error:
            await asyncio.sleep(PAUSE_S)


async def read_rows(address: str) -> list[str]:
    """Returns the final table as the primary has it."""
    async with (
        asyncio.timeout(READY_TIMEOUT_S),
        caller.session(address) as session,
    ):
        while True:
            answer = await session.read(READS, DATABASE, ALL_ROWS)
            if answer.error is None:
                return [row[0] for row in answer.results[0].rows]
            await asyncio.sleep(PAUSE_S)


async def status(fleet: fleets.Fleet, name: str) -> upstream.Status:
    """Returns what the upstream `name` says of itself."""
    return await fleet.stand_in(fleet.upstreams[name], upstream.ReadStatus())


async def wait_following(
    fleet: fleets.Fleet, name: str, above: position.Term
) -> upstream.Status:
    """Waits until a replica's log ends in its term, one above `above`."""
    async with asyncio.timeout(READY_TIMEOUT_S):
        while True:
            found = await status(fleet, name)
            caught_up = found.history.last.term == found.term > above
            if found.role is upstream.Role.REPLICA and caught_up:
                return found
            await asyncio.sleep(PAUSE_S)


def log_lines(fleet: fleets.Fleet, event: str) -> list[str]:
    """Returns the proxies' log lines of one kind of event."""
    found = []
    for path in sorted(fleet.folder.glob("proxy-*.log")):
        lines = path.read_text().splitlines()
        found += [line for line in lines if f'"{event}"' in line]
    return found
