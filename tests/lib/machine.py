"""The model-based test: callers and faults against the real cores."""

from __future__ import annotations

import collections
import dataclasses
from typing import ClassVar

from hypothesis import stateful
from hypothesis import strategies as st

from fescueshunt import errors
from fescueshunt.core import position, request
from lib import checker, scenarios, world

PROXIES = ("proxy-0", "proxy-1", "proxy-2")
UPSTREAMS = ("db-0", "db-1", "db-2")
SETTLE_S = 10.0
SHARE = st.sampled_from((0.0, 0.0, 0.02, 0.1))
NAMES = st.sampled_from(PROXIES)
SESSIONS = st.integers(0, 1)


@dataclasses.dataclass(slots=True)
class Session:
    """A caller's session: its token and the rows that it knows of."""

    token: position.Position | None = None
    unsure: bool = False
    known: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Transaction:
    """A transaction of a caller; `sent` are the keys of its statements."""

    proxy: str
    conn: int
    begin: bytes
    session: int
    tags: tuple[str, ...]
    sent: list[tuple[str, int, int]] = dataclasses.field(default_factory=list)


class Machine(stateful.RuleBasedStateMachine):
    """Sends requests, breaks things, and checks the history in the end.

    `totals` counts runs, faults and outcomes of all runs.
    """

    totals: ClassVar[collections.Counter[str]] = collections.Counter()

    @stateful.initialize(seed=st.integers(0, 1 << 16))
    def begin(self, seed):
        self.played = world.World(seed, proxies=len(PROXIES))
        self.sessions = [Session(), Session()]
        self.sent: dict[tuple[str, int, int], checker.Sent] = {}
        self.owners: dict[tuple[str, int, int], int] = {}
        self.writes: list[checker.Sent] = []
        self.transactions: list[Transaction] = []
        self.conns = 0

    # Requests.

    @stateful.rule(proxy=NAMES, session=SESSIONS)
    def write(self, proxy, session):
        tag = f"w{len(self.sent)}"
        req = scenarios.write(self.played, tag, timeout_s=3.0)
        one = checker.Sent(req, (tag,), write_id=req.request_id)
        self.writes.append(one)
        self._send(proxy, session, one)

    @stateful.precondition(lambda self: self.writes)
    @stateful.rule(proxy=NAMES, session=SESSIONS, data=st.data())
    def repeat(self, proxy, session, data):
        first = data.draw(st.sampled_from(self.writes))
        self._send(proxy, session, dataclasses.replace(first, answer=None))

    @stateful.precondition(lambda self: self.writes)
    @stateful.rule(proxy=NAMES, session=SESSIONS, data=st.data())
    def ask_outcome(self, proxy, session, data):
        first = data.draw(st.sampled_from(self.writes))
        req = request.Request(
            self.played.new_id(),
            "pay",
            "db",
            request.Kind.OUTCOME,
            timeout_s=3.0,
            transaction=first.write_id,
        )
        one = checker.Sent(req, first.tags, write_id=first.write_id)
        self._send(proxy, session, one)

    @stateful.rule(proxy=NAMES, session=SESSIONS)
    def read(self, proxy, session):
        mine = self.sessions[session]
        request_id = self.played.new_id()
        echo = request.Statement("SELECT ?", (request_id,))
        req = request.Request(
            request_id,
            "look",
            "db",
            request.Kind.READ,
            (echo, scenarios.SHOW),
            after=mine.token,
            unsure=mine.unsure,
            timeout_s=3.0,
        )
        self._send(
            proxy, session, checker.Sent(req, known=frozenset(mine.known))
        )

    @stateful.rule(proxy=NAMES, session=SESSIONS)
    def open_transaction(self, proxy, session):
        self.conns += 1
        tags = (f"t{len(self.sent)}-a", f"t{len(self.sent)}-b")
        opened = Transaction(
            proxy, 100 + self.conns, self.played.new_id(), session, tags
        )
        req = scenarios.inside(
            self.played, request.Kind.BEGIN, opened.begin, timeout_s=3.0
        )
        self._send(proxy, session, checker.Sent(req), opened)
        self.transactions.append(opened)

    @stateful.precondition(lambda self: self.transactions)
    @stateful.rule(data=st.data(), ends=st.booleans())
    def continue_transaction(self, data, ends):
        opened = data.draw(st.sampled_from(self.transactions))
        if not ends and len(opened.sent) <= len(opened.tags):
            self._step(opened)
        elif len(opened.sent) > len(opened.tags):
            self._commit(opened)

    def _step(self, opened: Transaction) -> None:
        tag = opened.tags[len(opened.sent) - 1]
        step = scenarios.inside(
            self.played,
            request.Kind.STEP,
            opened.begin,
            scenarios.add(tag),
            timeout_s=3.0,
        )
        one = checker.Sent(step)
        self._send(opened.proxy, opened.session, one, opened)

    def _commit(self, opened: Transaction) -> None:
        self.transactions.remove(opened)
        self._take_answers()
        if any(
            self.sent[key].answer is None or self.sent[key].answer.error
            for key in opened.sent
        ):
            self.played.close_caller(opened.proxy, opened.conn)
            return
        req = scenarios.inside(
            self.played, request.Kind.COMMIT, opened.begin, timeout_s=3.0
        )
        one = checker.Sent(req, opened.tags, write_id=req.request_id)
        self.writes.append(one)
        self._send(opened.proxy, opened.session, one, opened)

    @stateful.precondition(lambda self: self.transactions)
    @stateful.rule(data=st.data())
    def leave(self, data):
        opened = data.draw(st.sampled_from(self.transactions))
        self.transactions.remove(opened)
        self.played.close_caller(opened.proxy, opened.conn)

    @stateful.rule(proxy=NAMES, session=SESSIONS, kept=st.booleans())
    def transact(self, proxy, session, kept):
        """Runs a transaction from end to end, within other requests."""
        self.open_transaction(proxy, session)
        opened = self.transactions[-1]
        for _ in opened.tags:
            self.played.run(0.02)
            self._step(opened)
        self.played.run(0.02)
        if kept:
            self._commit(opened)

    # Faults.

    @stateful.rule()
    def start(self):
        for name in PROXIES:
            if name not in self.played.proxies:
                self.played.start(name)
        self.played.run(1.0)

    @stateful.rule(name=NAMES)
    def kill(self, name):
        if name in self.played.proxies and len(self.played.proxies) > 1:
            self.totals["proxies killed"] += 1
            self.played.kill(name)

    @stateful.rule(name=NAMES, seconds=st.sampled_from((0.5, 2.0, 4.0)))
    def pause(self, name, seconds):
        if name in self.played.proxies:
            self.totals["proxies paused"] += 1
            self.played.pause(name, seconds)

    @stateful.rule(name=st.sampled_from(UPSTREAMS))
    def break_or_mend(self, name):
        fake = self.played.upstreams[name]
        others = [u for u in self.played.upstreams.values() if u is not fake]
        if fake.alive and all(u.alive for u in others):
            self.totals["upstreams broken"] += 1
            fake.alive = False
        else:
            fake.alive = True

    @stateful.rule(name=st.sampled_from(UPSTREAMS), reads=st.booleans())
    def lag(self, name, reads):
        """Lets one replica fall behind, or catch up."""
        others = [u for u in UPSTREAMS if u != name]
        if all(self.played.upstreams[u].is_replicating for u in others):
            self.totals["replicas held back"] += not reads
            self.played.upstreams[name].is_replicating = reads

    @stateful.rule()
    def cut(self):
        self.totals["connections cut"] += self.played.cut_upstreams()

    @stateful.rule(lost=SHARE, doubled=SHARE, late=SHARE)
    def disturb(self, lost, doubled, late):
        self.played.faults = world.Faults(lost, doubled, late)

    @stateful.rule(seconds=st.sampled_from((0.002, 0.005, 0.01, 0.1, 1.0)))
    def wait(self, seconds):
        self.played.run(seconds)

    @stateful.rule()
    def calm(self):
        """Ends all faults for a while."""
        self.played.faults = world.Faults()
        for fake in self.played.upstreams.values():
            fake.alive = True
        self.start()
        self.played.run(2.0)

    # The end.

    def teardown(self):
        if not hasattr(self, "played"):
            return
        self.played.faults = world.Faults()
        for fake in self.played.upstreams.values():
            fake.alive = True
            fake.is_replicating = True
        for name in PROXIES:
            if name not in self.played.proxies:
                self.played.start(name)
        self.played.run(SETTLE_S)
        self._take_answers()
        history = list(self.sent.values())
        self._count(history)
        log = self.played.primary().engine.log
        broken = checker.check(history, self.played.rows(), log)
        assert broken == []
        assert self.played.extra_answers == 0

    def _count(self, history: list[checker.Sent]) -> None:
        self.totals["runs"] += 1
        self.totals["messages disturbed"] += self.played.disturbed
        for one in history:
            outcome = one.answer.outcome if one.answer else "no answer"
            self.totals[f"{one.req.kind} {outcome}"] += 1

    def _send(
        self,
        proxy: str,
        session: int,
        one: checker.Sent,
        opened: Transaction | None = None,
    ) -> None:
        self._take_answers()
        conn = opened.conn if opened else 1 + session
        if proxy not in self.played.proxies:
            error = errors.NoRouteError()
            one.answer = request.Answer(one.req.request_id, error=error)
        seq = self.played.send(proxy, conn, one.req)
        key = (proxy, conn, seq)
        self.sent[key] = one
        self.owners[key] = session
        if opened:
            opened.sent.append(key)

    def _take_answers(self) -> None:
        """Notes new answers in the sessions, as the caller library does."""
        for key, one in self.sent.items():
            if one.answer is None and key in self.played.answers:
                one.answer = self.played.answers[key]
                self._note(self.sessions[self.owners[key]], one)

    def _note(self, session: Session, one: checker.Sent) -> None:
        answer = one.answer
        if answer.token is not None:
            known = session.token or position.ORIGIN
            session.token = max(known, answer.token)
            session.known.update(one.tags)
            session.unsure = False
        elif one.tags and answer.outcome is errors.Outcome.UNKNOWN:
            session.unsure = True
