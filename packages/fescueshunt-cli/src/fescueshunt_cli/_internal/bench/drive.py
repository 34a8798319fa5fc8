"""Drives one phase: requests leave when they are due, whatever is in flight."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
from typing import TYPE_CHECKING

from fescueshunt.core import request
from fescueshunt_cli import caller
from fescueshunt_cli._internal.bench import arrivals, plan, samples
from fescueshunt_wire import channel

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

MS_PER_S = 1000
PRIMED_AT_ONCE = 4
PRIME_ATTEMPTS = 20
PRIME_PAUSE_S = 0.1
ROWS_PER_GENERATOR = 10_000
SHOW = "SELECT n FROM item WHERE id = ?"
CHANGE = (
    "INSERT INTO item VALUES (?, 1) ON CONFLICT (id) DO UPDATE SET n = n + 1"
)


@dataclasses.dataclass(slots=True)
class Lane:
    """One session, which roams; `acked` counts its acknowledged writes."""

    name: str
    row: int
    token: caller.Token = dataclasses.field(default_factory=caller.Token)
    acked: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Generator:
    """Which part of the load this process offers, and to whom."""

    plan: plan.Plan
    phase: str
    addresses: tuple[str, ...]
    databases: tuple[str, ...]
    seed: int
    number: int = 0
    parts: int = 1


class Drive:
    """The load of one phase."""

    def __init__(
        self, cfg: Generator, channels: Sequence[channel.Channel]
    ) -> None:
        self._cfg = cfg
        self._channels = channels
        self._chance = random.Random(f"{cfg.seed}/{cfg.phase}/{cfg.number}")
        self._lanes = _lanes(cfg)
        self._samples: list[samples.Sample] = []
        self._start = 0.0

    async def run(self) -> list[samples.Sample]:
        """Runs the phase and returns a sample for each request."""
        await self._prime()
        schedule = sorted(
            (due, name)
            for name in self._cfg.plan.streams
            for due in self._arrivals(name)
        )
        loop = asyncio.get_running_loop()
        print("started", flush=True)
        self._start = loop.time()
        async with asyncio.TaskGroup() as tasks:
            for due, name in schedule:
                ahead_s = self._start + due - loop.time()
                if ahead_s > 0:
                    await asyncio.sleep(ahead_s)
                tasks.create_task(self._send(name, due))
        return self._samples

    def _arrivals(self, name: str) -> list[float]:
        cfg = self._cfg
        rate = cfg.plan.rate(cfg.phase, name) / cfg.parts
        seconds = cfg.plan.phases[cfg.phase].seconds
        return arrivals.poisson(rate, seconds, self._chance)

    async def _prime(self) -> None:
        """Gives each session that needs one a token, by a write."""
        limit = asyncio.Semaphore(PRIMED_AT_ONCE)

        async def prime(lane: Lane, stream: plan.StreamModel) -> None:
            for _ in range(PRIME_ATTEMPTS):
                async with limit:
                    answer = await self._write(lane, stream)
                if answer.error is None:
                    lane.acked += 1
                    return
                await asyncio.sleep(PRIME_PAUSE_S)

        async with asyncio.TaskGroup() as tasks:
            for stream in self._cfg.plan.streams.values():
                for lane in (
                    self._lanes[stream.sessions] if stream.primed else ()
                ):
                    tasks.create_task(prime(lane, stream))

    async def _send(self, name: str, due: float) -> None:
        stream = self._cfg.plan.streams[name]
        lane = self._chance.choice(self._lanes[stream.sessions])
        one_way_s = self._cfg.plan.site.client_ms / MS_PER_S
        await asyncio.sleep(one_way_s)
        expected = lane.acked
        tokened = bool(lane.token.positions)
        if stream.kind is request.Kind.WRITE:
            answer = await self._write(lane, stream)
            lane.acked += answer.error is None
        else:
            answer = await self._read(lane, stream)
        await asyncio.sleep(one_way_s)
        ended = asyncio.get_running_loop().time()
        self._samples.append(
            samples.Sample(
                name,
                due,
                ended - self._start - due,
                answer.error.code if answer.error else "done",
                answer.from_replica,
                tokened,
                tokened and _misses(answer, stream, expected),
            )
        )

    async def _write(
        self, lane: Lane, stream: plan.StreamModel
    ) -> request.Answer:
        return await self._session(lane).write(
            stream.service,
            self._database(lane),
            request.Statement(CHANGE, (lane.row,)),
            timeout_s=stream.timeout_s,
        )

    async def _read(
        self, lane: Lane, stream: plan.StreamModel
    ) -> request.Answer:
        return await self._session(lane).read(
            stream.service,
            self._database(lane),
            request.Statement(SHOW, (lane.row,)),
            timeout_s=stream.timeout_s,
        )

    def _session(self, lane: Lane) -> caller.Session:
        calls = self._chance.choice(self._channels)
        return caller.Session(calls, lane.name, lane.token)

    def _database(self, lane: Lane) -> str:
        return self._cfg.databases[lane.row % len(self._cfg.databases)]


async def run(cfg: Generator) -> list[samples.Sample]:
    """Runs one phase against running proxies."""
    async with _connected(cfg.addresses) as channels:
        return await Drive(cfg, channels).run()


@contextlib.asynccontextmanager
async def _connected(
    addresses: Sequence[str],
) -> AsyncIterator[list[channel.Channel]]:
    async with contextlib.AsyncExitStack() as stack:
        yield [
            await stack.enter_async_context(channel.connect(address))
            for address in addresses
        ]


def _lanes(cfg: Generator) -> dict[str, list[Lane]]:
    sizes: dict[str, int] = {}
    for stream in cfg.plan.streams.values():
        sizes[stream.sessions] = max(
            sizes.get(stream.sessions, 0), stream.lanes
        )
    first = cfg.number * ROWS_PER_GENERATOR
    lanes: dict[str, list[Lane]] = {}
    for sessions, size in sizes.items():
        lanes[sessions] = [
            Lane(f"{sessions}-{cfg.number}-{turn}", first + turn)
            for turn in range(size)
        ]
        first += size
    return lanes


def _misses(
    answer: request.Answer, stream: plan.StreamModel, expected: int
) -> bool:
    """Tells whether a read with a token misses an acknowledged write."""
    if answer.error is not None or stream.kind is not request.Kind.READ:
        return False
    rows = answer.results[0].rows
    return (rows[0][0] if rows else 0) < expected
