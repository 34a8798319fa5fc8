"""Clients of hosts, and an independent check of what they were told."""

from __future__ import annotations

import dataclasses
import itertools

from fescueshunt.core import routes, sessions
from lib import hosted_world

PAUSE_S = 0.03
NOT_KEPT = frozenset(
    {
        sessions.Failure.BUSY,
        sessions.Failure.ABORTED,
        sessions.Failure.LAGGING,
        sessions.Failure.READ_ONLY,
        sessions.Failure.WRONG_UPSTREAM,
        sessions.Failure.CONNECTION_LIMIT,
    }
)


@dataclasses.dataclass(slots=True)
class History:
    """What clients were told.

    Attributes:
      acked: commits, with when their clients were told.
      refused: writes of which clients were promised that nothing is kept.
      problems: rules that were broken, in words.
    """

    acked: dict[str, float] = dataclasses.field(default_factory=dict)
    own: dict[int, set[str]] = dataclasses.field(default_factory=dict)
    refused: set[str] = dataclasses.field(default_factory=set)
    problems: list[str] = dataclasses.field(default_factory=list)
    served: int = 0
    failed: int = 0


class Client:
    """One session after the other on a host, statement by statement."""

    def __init__(
        self,
        world: hosted_world.World,
        history: History,
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
        world.call_later(world.chance.uniform(0, 0.2), self._next)

    def _next(self) -> None:
        world = self._world
        world.call_later(PAUSE_S * world.chance.uniform(0.5, 2.0), self._next)
        if self._waiting_since is not None:
            # A client gives up on a host that is gone or frozen for long.
            if world.now - self._waiting_since < 3.0:
                return
            self._waiting_since = None
            self._host = ""
        if self._host not in world.hosts or world.chance.random() < 0.1:
            self._open()
        kind = world.chance.random()
        if kind < 0.3:
            self._write()
        elif kind < 0.45:
            self._transaction()
        else:
            self._read()

    def _open(self) -> None:
        world = self._world
        if not world.hosts:
            return
        self._host = world.chance.choice(sorted(world.hosts))
        self._session = self._number * 100_000 + next(self._tags)
        self._route = world.chance.choice(sorted(hosted_world.ROUTES))
        self._history.own[self._session] = set()
        world.open_session(self._host, self._session, self._route)

    def _ask(self, verb: sessions.Verb, text: str, answered) -> None:
        self._waiting_since = self._world.now
        session = self._session

        def take(answer: sessions.SessionAnswer) -> None:
            if session == self._session:
                self._waiting_since = None
            if answer.failure is None:
                self._history.served += 1
            else:
                self._history.failed += 1
            answered(answer)

        if self._host in self._world.hosts:
            self._world.ask(self._host, session, verb, text, take)

    def _write(self) -> None:
        tag = f"w{next(self._tags)}"
        own = self._history.own.setdefault(self._session, set())
        self._ask(sessions.Verb.WRITE, tag, lambda a: self._wrote(tag, own, a))

    def _wrote(
        self, tag: str, own: set[str], answer: sessions.SessionAnswer
    ) -> None:
        if answer.failure is None:
            self._history.acked[tag] = self._world.now
            own.add(tag)
        elif answer.failure in NOT_KEPT:
            self._history.refused.add(tag)

    def _transaction(self) -> None:
        tag = f"t{next(self._tags)}"
        own = self._history.own.setdefault(self._session, set())
        host, session = self._host, self._session

        def begun(answer: sessions.SessionAnswer) -> None:
            if self._host == host and self._session == session:
                self._ask(sessions.Verb.WRITE, tag, written)

        def written(answer: sessions.SessionAnswer) -> None:
            if self._session != session:
                return
            verb = sessions.Verb.COMMIT
            if answer.failure is not None:
                self._wrote(tag, own, answer)
                verb = sessions.Verb.ROLLBACK
                self._ask(verb, "", lambda a: None)
                return
            self._ask(verb, "", lambda a: self._wrote(tag, own, a))

        self._ask(sessions.Verb.BEGIN, "", begun)

    def _read(self) -> None:
        history, now = self._history, self._world.now
        wanted = hosted_world.ROUTES.get(self._route)
        if wanted is None:
            return
        own = set(history.own.get(self._session, ()))
        strict = wanted.consistency is routes.Consistency.PRIMARY
        before = now if strict else now - wanted.max_age_s
        must = {tag for tag, at in history.acked.items() if at < before}
        if wanted.consistency is routes.Consistency.OWN_WRITES:
            must |= own
        host, name = self._host, self._route

        def check(answer: sessions.SessionAnswer) -> None:
            if answer.failure is None and not must <= set(answer.rows):
                missing = sorted(must - set(answer.rows))[:3]
                history.problems.append(
                    f"stale read at {now:.3f} on {host}/{name}: {missing}"
                )

        self._ask(sessions.Verb.READ, "x", check)


def run_clients(world: hosted_world.World, count: int = 6) -> History:
    """Starts clients; returns what they will have been told."""
    history = History()
    tags = itertools.count(1)
    for number in range(count):
        Client(world, history, number + 1, tags)
    return history


def check_end(world: hosted_world.World, history: History) -> list[str]:
    """Returns every rule that the run broke, looking at the last primary."""
    problems = list(history.problems)
    leader = world.replicas.primary()
    if leader is None:
        return [*problems, "no primary at the end"]
    tags = [commit.tag for commit in leader.log]
    lost = sorted(history.acked.keys() - set(tags))
    if lost:
        problems.append(f"acknowledged commits lost: {lost[:3]}")
    doubled = {tag for tag in tags if tags.count(tag) > 1}
    if doubled:
        problems.append(f"commits applied twice: {sorted(doubled)[:3]}")
    kept = sorted(history.refused & set(tags))
    if kept:
        problems.append(f"kept though refused: {kept[:3]}")
    tokens = [token for _, _, token in world.replicas.promotions]
    if tokens != sorted(tokens):
        problems.append(f"fencing tokens went back: {tokens}")
    return problems
