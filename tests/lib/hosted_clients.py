"""Simulated clients and a consistency check of the answers they received."""

from __future__ import annotations

import dataclasses
import itertools

from fescueshunt.core import failures, routes, sessions
from lib import hosted_world

STATEMENT_INTERVAL_S = 0.03
UNCOMMITTED_FAILURES = frozenset(
    {
        failures.Failure.BUSY,
        failures.Failure.ABORTED,
        failures.Failure.LAGGING,
        failures.Failure.READ_ONLY,
        failures.Failure.WRONG_UPSTREAM,
        failures.Failure.CONNECTION_LIMIT,
    }
)


@dataclasses.dataclass(slots=True)
class ClientHistory:
    """Answers that the clients received, by the unique tags of their writes.

    Attributes:
      acknowledged_at: time at which the client received the acknowledgement
        of each commit.
      own_writes: tags acknowledged in each session.
      refused_tags: writes whose error guarantees that they were not committed.
      violations: descriptions of the consistency rules that were broken.
      served_count: number of statements answered without a failure.
      failed_count: number of statements answered with a failure.
    """

    acknowledged_at: dict[str, float] = dataclasses.field(default_factory=dict)
    own_writes: dict[int, set[str]] = dataclasses.field(default_factory=dict)
    refused_tags: set[str] = dataclasses.field(default_factory=set)
    violations: list[str] = dataclasses.field(default_factory=list)
    served_count: int = 0
    failed_count: int = 0


class Client:
    """Client that runs random statements in one session after another."""

    def __init__(
        self,
        world: hosted_world.World,
        history: ClientHistory,
        number: int,
        tags: itertools.count,
    ) -> None:
        self._world = world
        self._history = history
        self._number = number
        self._tags = tags
        self._host = ""
        self._session = 0
        self._route = ""
        self._waiting_since: float | None = None
        world.call_later(world.rng.uniform(0, 0.2), self._run_next_statement)

    def _run_next_statement(self) -> None:
        world = self._world
        world.call_later(
            STATEMENT_INTERVAL_S * world.rng.uniform(0.5, 2.0),
            self._run_next_statement,
        )
        if self._waiting_since is not None:
            # A client abandons a host that has not answered for 3 s.
            if world.now - self._waiting_since < 3.0:
                return
            self._waiting_since = None
            self._host = ""
        if self._host not in world.hosts or world.rng.random() < 0.1:
            self._open_session()
        kind = world.rng.random()
        if kind < 0.3:
            self._write()
        elif kind < 0.45:
            self._transaction()
        else:
            self._read()

    def _open_session(self) -> None:
        world = self._world
        if not world.hosts:
            return
        self._host = world.rng.choice(sorted(world.hosts))
        self._session = self._number * 100_000 + next(self._tags)
        self._route = world.rng.choice(sorted(hosted_world.ROUTES))
        self._history.own_writes[self._session] = set()
        world.open_session(self._host, self._session, self._route)

    def _send(self, verb: sessions.Verb, text: str, on_answer) -> None:
        self._waiting_since = self._world.now
        session = self._session

        def handle_answer(answer: sessions.SessionAnswer) -> None:
            if session == self._session:
                self._waiting_since = None
            if answer.failure is None:
                self._history.served_count += 1
            else:
                self._history.failed_count += 1
            on_answer(answer)

        if self._host in self._world.hosts:
            self._world.send_statement(
                self._host, session, verb, text, handle_answer
            )

    def _write(self) -> None:
        tag = f"w{next(self._tags)}"
        own_writes = self._history.own_writes.setdefault(self._session, set())
        self._send(
            sessions.Verb.WRITE,
            tag,
            lambda a: self._record_write(tag, own_writes, a),
        )

    def _record_write(
        self, tag: str, own_writes: set[str], answer: sessions.SessionAnswer
    ) -> None:
        if answer.failure is None:
            self._history.acknowledged_at[tag] = self._world.now
            own_writes.add(tag)
        elif answer.failure in UNCOMMITTED_FAILURES:
            self._history.refused_tags.add(tag)

    def _transaction(self) -> None:
        tag = f"t{next(self._tags)}"
        own_writes = self._history.own_writes.setdefault(self._session, set())
        host, session = self._host, self._session

        def on_begin(answer: sessions.SessionAnswer) -> None:
            if self._host == host and self._session == session:
                self._send(sessions.Verb.WRITE, tag, on_write)

        def on_write(answer: sessions.SessionAnswer) -> None:
            if self._session != session:
                return
            verb = sessions.Verb.COMMIT
            if answer.failure is not None:
                self._record_write(tag, own_writes, answer)
                verb = sessions.Verb.ROLLBACK
                self._send(verb, "", lambda a: None)
                return
            self._send(
                verb, "", lambda a: self._record_write(tag, own_writes, a)
            )

        self._send(sessions.Verb.BEGIN, "", on_begin)

    def _read(self) -> None:
        history, now = self._history, self._world.now
        route = hosted_world.ROUTES.get(self._route)
        if route is None:
            return
        own_writes = set(history.own_writes.get(self._session, ()))
        is_primary_read = route.consistency is routes.Consistency.PRIMARY
        before = now if is_primary_read else now - route.max_age_s
        expected_tags = {
            tag for tag, at in history.acknowledged_at.items() if at < before
        }
        if route.consistency is routes.Consistency.OWN_WRITES:
            expected_tags |= own_writes
        host, name = self._host, self._route

        def check(answer: sessions.SessionAnswer) -> None:
            if answer.failure is None and not expected_tags <= set(answer.rows):
                missing = sorted(expected_tags - set(answer.rows))[:3]
                history.violations.append(
                    f"stale read at {now:.3f} on {host}/{name}: {missing}"
                )

        self._send(sessions.Verb.READ, "x", check)


def run_clients(world: hosted_world.World, count: int = 6) -> ClientHistory:
    """Schedules clients; returns the history that they fill during the run."""
    history = ClientHistory()
    world.promotion_network.acknowledged_at = history.acknowledged_at
    tags = itertools.count(1)
    for number in range(count):
        Client(world, history, number + 1, tags)
    return history


def find_violations(
    world: hosted_world.World, history: ClientHistory
) -> list[str]:
    """Returns all violations, comparing the history with the primary's log."""
    network = world.promotion_network
    violations = [*history.violations, *network.violations]
    primary = world.replicas.primary()
    if primary is None:
        return [*violations, "no primary at the end"]
    tags = [commit.tag for commit in primary.log]
    lost = sorted(history.acknowledged_at.keys() - set(tags))
    if lost:
        violations.append(f"acknowledged commits lost: {lost[:3]}")
    duplicated = {tag for tag in tags if tags.count(tag) > 1}
    if duplicated:
        violations.append(f"commits applied twice: {sorted(duplicated)[:3]}")
    committed_refusals = sorted(history.refused_tags & set(tags))
    if committed_refusals:
        violations.append(f"kept though refused: {committed_refusals[:3]}")
    tokens = [call.token for call in network.arrived]
    if tokens != sorted(tokens):
        violations.append(f"fencing tokens went back: {tokens}")
    return violations
