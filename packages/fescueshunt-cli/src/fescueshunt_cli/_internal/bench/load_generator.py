"""Open-loop load generator for one phase of a bench plan.

Requests are sent at their scheduled times, however many are in flight.
"""

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
MAX_CONCURRENT_PRIMING = 4
PRIME_ATTEMPTS = 20
PRIME_RETRY_DELAY_S = 0.1
ROWS_PER_GENERATOR = 10_000
SELECT_SQL = "SELECT n FROM item WHERE id = ?"
UPSERT_SQL = (
    "INSERT INTO item VALUES (?, 1) ON CONFLICT (id) DO UPDATE SET n = n + 1"
)


@dataclasses.dataclass(slots=True)
class SessionState:
    """The state of a simulated session, which uses all proxies.

    Attributes:
      name: the name that identifies the caller.
      row: the id of the row that the session reads and writes.
      token: the read-your-writes state.
      acked_writes: the number of acknowledged writes.
    """

    name: str
    row: int
    token: caller.Token = dataclasses.field(default_factory=caller.Token)
    acked_writes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class GeneratorConfig:
    """The share of a phase's load that this process generates.

    Attributes:
      plan: the bench plan.
      phase: the name of the phase.
      addresses: the addresses of the proxies.
      databases: the names of the databases.
      seed: the seed of all random choices.
      number: the index of this generator, from 0.
      parts: the number of generators that share the load.
    """

    plan: plan.Plan
    phase: str
    addresses: tuple[str, ...]
    databases: tuple[str, ...]
    seed: int
    number: int = 0
    parts: int = 1


class PhaseRunner:
    """Generates the load of one phase on connected proxies."""

    def __init__(
        self, cfg: GeneratorConfig, channels: Sequence[channel.Channel]
    ) -> None:
        self._cfg = cfg
        self._channels = channels
        self._rng = random.Random(f"{cfg.seed}/{cfg.phase}/{cfg.number}")
        self._session_states = _make_session_states(cfg)
        self._samples: list[samples.Sample] = []
        self._started_at = 0.0

    async def run(self) -> list[samples.Sample]:
        """Runs the phase and returns a sample for each request."""
        await self._prime()
        schedule = sorted(
            (due_s, name)
            for name in self._cfg.plan.streams
            for due_s in self._arrival_times(name)
        )
        loop = asyncio.get_running_loop()
        print("started", flush=True)
        self._started_at = loop.time()
        async with asyncio.TaskGroup() as tasks:
            for due_s, name in schedule:
                delay_s = self._started_at + due_s - loop.time()
                if delay_s > 0:
                    await asyncio.sleep(delay_s)
                tasks.create_task(self._send(name, due_s))
        return self._samples

    def _arrival_times(self, name: str) -> list[float]:
        cfg = self._cfg
        rate = cfg.plan.rate(cfg.phase, name) / cfg.parts
        seconds = cfg.plan.phases[cfg.phase].seconds
        return arrivals.poisson(rate, seconds, self._rng)

    async def _prime(self) -> None:
        """Makes each session of a primed stream write once, to get a token."""
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_PRIMING)

        async def prime(state: SessionState, stream: plan.StreamModel) -> None:
            for _ in range(PRIME_ATTEMPTS):
                async with semaphore:
                    answer = await self._write(state, stream)
                if answer.error is None:
                    state.acked_writes += 1
                    return
                await asyncio.sleep(PRIME_RETRY_DELAY_S)

        async with asyncio.TaskGroup() as tasks:
            for stream in self._cfg.plan.streams.values():
                for state in (
                    self._session_states[stream.sessions]
                    if stream.primed
                    else ()
                ):
                    tasks.create_task(prime(state, stream))

    async def _send(self, name: str, due_s: float) -> None:
        stream = self._cfg.plan.streams[name]
        state = self._rng.choice(self._session_states[stream.sessions])
        one_way_s = self._cfg.plan.site.client_ms / MS_PER_S
        await asyncio.sleep(one_way_s)
        acked_writes = state.acked_writes
        has_token = bool(state.token.positions)
        if stream.kind is request.Kind.WRITE:
            answer = await self._write(state, stream)
            state.acked_writes += answer.error is None
        else:
            answer = await self._read(state, stream)
        await asyncio.sleep(one_way_s)
        ended_at = asyncio.get_running_loop().time()
        self._samples.append(
            samples.Sample(
                name,
                due_s,
                ended_at - self._started_at - due_s,
                answer.error.code if answer.error else "done",
                answer.from_replica,
                has_token,
                has_token and _misses_own_write(answer, stream, acked_writes),
            )
        )

    async def _write(
        self, state: SessionState, stream: plan.StreamModel
    ) -> request.Answer:
        return await self._make_session(state).write(
            stream.service,
            self._database(state),
            request.Statement(UPSERT_SQL, (state.row,)),
            timeout_s=stream.timeout_s,
        )

    async def _read(
        self, state: SessionState, stream: plan.StreamModel
    ) -> request.Answer:
        return await self._make_session(state).read(
            stream.service,
            self._database(state),
            request.Statement(SELECT_SQL, (state.row,)),
            timeout_s=stream.timeout_s,
        )

    def _make_session(self, state: SessionState) -> caller.Session:
        proxy_channel = self._rng.choice(self._channels)
        return caller.Session(proxy_channel, state.name, state.token)

    def _database(self, state: SessionState) -> str:
        return self._cfg.databases[state.row % len(self._cfg.databases)]


async def run_phase(cfg: GeneratorConfig) -> list[samples.Sample]:
    """Connects to the proxies, runs the phase and returns its samples."""
    async with _open_channels(cfg.addresses) as channels:
        return await PhaseRunner(cfg, channels).run()


@contextlib.asynccontextmanager
async def _open_channels(
    addresses: Sequence[str],
) -> AsyncIterator[list[channel.Channel]]:
    async with contextlib.AsyncExitStack() as stack:
        yield [
            await stack.enter_async_context(channel.connect(address))
            for address in addresses
        ]


def _make_session_states(cfg: GeneratorConfig) -> dict[str, list[SessionState]]:
    sizes: dict[str, int] = {}
    for stream in cfg.plan.streams.values():
        sizes[stream.sessions] = max(
            sizes.get(stream.sessions, 0), stream.lanes
        )
    first_row = cfg.number * ROWS_PER_GENERATOR
    states: dict[str, list[SessionState]] = {}
    for sessions, size in sizes.items():
        states[sessions] = [
            SessionState(f"{sessions}-{cfg.number}-{index}", first_row + index)
            for index in range(size)
        ]
        first_row += size
    return states


def _misses_own_write(
    answer: request.Answer, stream: plan.StreamModel, acked_writes: int
) -> bool:
    """Returns whether a read misses an acknowledged write of its session."""
    if answer.error is not None or stream.kind is not request.Kind.READ:
        return False
    rows = answer.results[0].rows
    return (rows[0][0] if rows else 0) < acked_writes
