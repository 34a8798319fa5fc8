"""Deployment of three zones for tests that run real processes."""

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
WRITE_SERVICE = "renew-card"
READ_SERVICE = "counter-read"
READY_TIMEOUT_S = 60.0
POLL_DELAY_S = 0.05
SELECT_KEYS = request.Statement("SELECT key FROM written")
SELECT_ZERO = request.Statement("SELECT 0")


def build_document(durability: document.Durability) -> document.Document:
    """Returns a settings document with one database in three zones."""
    members = tuple(
        document.Upstream(f"renew-1-{letter}", zone, "127.0.0.1:1")
        for letter, zone in zip("abc", ZONES, strict=True)
    )
    return document.Document(
        ranks=(ranks.Rank("urgent", 0, 0.3, 20.0, 0.4),),
        groups=(document.Group("renew-core", 5, 55),),
        databases=(document.Database(DATABASE, "renew-core", members),),
        services=(
            document.Service(
                WRITE_SERVICE, "renew-core", "urgent", True, durability
            ),
            document.Service(READ_SERVICE, "renew-core", "urgent"),
        ),
    )


@contextlib.asynccontextmanager
async def running(
    durability: document.Durability = document.Durability.MAJORITY,
    proxies_per_zone: int = 1,
    proxy: tuple[tuple[str, object], ...] = (),
) -> AsyncIterator[fleets.Fleet]:
    """Runs the deployment; yields once reads succeed through every proxy.

    Args:
      durability: the durability of the service that writes.
      proxies_per_zone: the number of proxies in each zone.
      proxy: settings that every proxy gets in addition to its own.
    """
    options = fleets.FleetOptions(
        schema_sql=writers.SCHEMA,
        proxies_per_zone=proxies_per_zone,
        list_lag_ms=0.0,
        proxy=proxy,
    )
    async with fleets.running(
        build_document(durability), options, ZONES
    ) as fleet:
        await wait_membership_complete(fleet)
        for process in fleet.proxies.values():
            await wait_reads_succeed(process.address)
        yield fleet


async def wait_membership_complete(fleet: fleets.Fleet) -> None:
    """Waits until every proxy has logged all proxies as fleet members."""
    async with asyncio.timeout(READY_TIMEOUT_S):
        for name in fleet.proxies:
            while not _has_seen_all(fleet, name):
                await asyncio.sleep(POLL_DELAY_S)


def _has_seen_all(fleet: fleets.Fleet, name: str) -> bool:
    lines = (fleet.folder / f"{name}.log").read_text().splitlines()
    changes = [json.loads(line) for line in lines if '"fleet_changed"' in line]
    seen = {member for change in changes for member in change["changed"]}
    return fleet.proxies.keys() <= seen


async def wait_reads_succeed(address: str) -> None:
    """Waits until a read on the primary succeeds through a proxy."""
    async with (
        asyncio.timeout(READY_TIMEOUT_S),
        caller.session(address) as session,
    ):
        while (await session.read(READ_SERVICE, DATABASE, SELECT_ZERO)).error:
            await asyncio.sleep(POLL_DELAY_S)


async def read_rows(address: str) -> list[str]:
    """Returns the keys in the table `written` on the primary.

    Retries until the read succeeds.
    """
    async with (
        asyncio.timeout(READY_TIMEOUT_S),
        caller.session(address) as session,
    ):
        while True:
            answer = await session.read(READ_SERVICE, DATABASE, SELECT_KEYS)
            if answer.error is None:
                return [row[0] for row in answer.results[0].rows]
            await asyncio.sleep(POLL_DELAY_S)


async def read_status(fleet: fleets.Fleet, name: str) -> upstream.Status:
    """Returns the status that the upstream `name` reports."""
    return await fleet.call_stand_in(
        fleet.upstreams[name], upstream.ReadStatus()
    )


async def wait_following(
    fleet: fleets.Fleet, name: str, above: position.Term
) -> upstream.Status:
    """Waits until an upstream follows a primary of a term above `above`.

    That is the case once it is a replica and its last log entry is of its term.
    Returns its status.
    """
    async with asyncio.timeout(READY_TIMEOUT_S):
        while True:
            reported = await read_status(fleet, name)
            caught_up = reported.history.last.term == reported.term > above
            if reported.role is upstream.Role.REPLICA and caught_up:
                return reported
            await asyncio.sleep(POLL_DELAY_S)


def log_lines(fleet: fleets.Fleet, event: str) -> list[str]:
    """Returns the log lines of all proxies that contain an event."""
    matching = []
    for path in sorted(fleet.folder.glob("proxy-*.log")):
        lines = path.read_text().splitlines()
        matching += [line for line in lines if f'"{event}"' in line]
    return matching
