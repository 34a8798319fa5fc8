"""State machine that tests the request pipe with random faults.

Callers send random requests to the cores of simulated proxies while proxies,
upstreams, connections and messages fail.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import ClassVar

from hypothesis import stateful
from hypothesis import strategies as st

from fescueshunt import errors
from fescueshunt.core import position, request
from lib import checker, scenarios, simulated_network, simulation

PROXIES = ("proxy-0", "proxy-1", "proxy-2")
UPSTREAMS = ("db-0", "db-1", "db-2")
RECOVERY_S = 10.0
FAULT_RATES = st.sampled_from((0.0, 0.0, 0.02, 0.1))
PROXY_NAMES = st.sampled_from(PROXIES)
SESSION_INDEXES = st.integers(0, 1)


@dataclasses.dataclass(slots=True)
class ClientSession:
    """The session of a caller.

    Attributes:
      token: the position of its newest write, or None before the first.
      unsure: whether the outcome of a write of the session is unknown.
      known_tags: the rows that its reads must return.
    """

    token: position.Position | None = None
    unsure: bool = False
    known_tags: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Transaction:
    """An open transaction of a caller.

    Attributes:
      proxy: the proxy that the caller is connected to.
      conn: the caller's connection.
      begin_id: the request id of its BEGIN, which identifies the transaction.
      session_index: the index of the caller's session.
      tags: the rows to add, one in each step.
      sent_keys: the keys of the records of its requests, BEGIN included.
    """

    proxy: str
    conn: int
    begin_id: bytes
    session_index: int
    tags: tuple[str, ...]
    sent_keys: list[tuple[str, int, int]] = dataclasses.field(
        default_factory=list
    )


class RequestMachine(stateful.RuleBasedStateMachine):
    """Sends requests, injects faults, and checks the history at the end.

    `totals` counts runs, faults and outcomes over all runs.
    """

    totals: ClassVar[collections.Counter[str]] = collections.Counter()

    @stateful.initialize(seed=st.integers(0, 1 << 16))
    def start_cluster(self, seed):
        self.cluster = simulation.SimulatedCluster(seed, proxies=len(PROXIES))
        self.sessions = [ClientSession(), ClientSession()]
        self.records: dict[tuple[str, int, int], checker.RequestRecord] = {}
        self.session_indexes: dict[tuple[str, int, int], int] = {}
        self.writes: list[checker.RequestRecord] = []
        self.transactions: list[Transaction] = []
        self.transaction_count = 0

    # Requests.

    @stateful.rule(proxy=PROXY_NAMES, session=SESSION_INDEXES)
    def send_write(self, proxy, session):
        tag = f"w{len(self.records)}"
        req = scenarios.write_request(self.cluster, tag, timeout_s=3.0)
        record = checker.RequestRecord(req, (tag,), write_id=req.request_id)
        self.writes.append(record)
        self._send(proxy, session, record)

    @stateful.precondition(lambda self: self.writes)
    @stateful.rule(proxy=PROXY_NAMES, session=SESSION_INDEXES, data=st.data())
    def resend_write(self, proxy, session, data):
        original = data.draw(st.sampled_from(self.writes))
        self._send(proxy, session, dataclasses.replace(original, answer=None))

    @stateful.precondition(lambda self: self.writes)
    @stateful.rule(proxy=PROXY_NAMES, session=SESSION_INDEXES, data=st.data())
    def send_outcome_request(self, proxy, session, data):
        original = data.draw(st.sampled_from(self.writes))
        req = request.Request(
            self.cluster.new_request_id(),
            "pay",
            "db",
            request.Kind.OUTCOME,
            timeout_s=3.0,
            transaction=original.write_id,
        )
        record = checker.RequestRecord(
            req, original.tags, write_id=original.write_id
        )
        self._send(proxy, session, record)

    @stateful.rule(proxy=PROXY_NAMES, session=SESSION_INDEXES)
    def send_read(self, proxy, session):
        client_session = self.sessions[session]
        request_id = self.cluster.new_request_id()
        echo = request.Statement("SELECT ?", (request_id,))
        req = request.Request(
            request_id,
            "look",
            "db",
            request.Kind.READ,
            (echo, scenarios.SELECT_TAGS),
            after=client_session.token,
            unsure=client_session.unsure,
            timeout_s=3.0,
        )
        self._send(
            proxy,
            session,
            checker.RequestRecord(
                req, known_tags=frozenset(client_session.known_tags)
            ),
        )

    @stateful.rule(proxy=PROXY_NAMES, session=SESSION_INDEXES)
    def open_transaction(self, proxy, session):
        self.transaction_count += 1
        tags = (f"t{len(self.records)}-a", f"t{len(self.records)}-b")
        transaction = Transaction(
            proxy,
            100 + self.transaction_count,
            self.cluster.new_request_id(),
            session,
            tags,
        )
        req = scenarios.transaction_request(
            self.cluster,
            request.Kind.BEGIN,
            transaction.begin_id,
            timeout_s=3.0,
        )
        self._send(proxy, session, checker.RequestRecord(req), transaction)
        self.transactions.append(transaction)

    @stateful.precondition(lambda self: self.transactions)
    @stateful.rule(data=st.data(), skip_step=st.booleans())
    def continue_transaction(self, data, skip_step):
        transaction = data.draw(st.sampled_from(self.transactions))
        if not skip_step and len(transaction.sent_keys) <= len(
            transaction.tags
        ):
            self._step(transaction)
        elif len(transaction.sent_keys) > len(transaction.tags):
            self._commit(transaction)

    def _step(self, transaction: Transaction) -> None:
        tag = transaction.tags[len(transaction.sent_keys) - 1]
        req = scenarios.transaction_request(
            self.cluster,
            request.Kind.STEP,
            transaction.begin_id,
            scenarios.insert_statement(tag),
            timeout_s=3.0,
        )
        record = checker.RequestRecord(req)
        self._send(
            transaction.proxy, transaction.session_index, record, transaction
        )

    def _commit(self, transaction: Transaction) -> None:
        self.transactions.remove(transaction)
        self._collect_answers()
        if any(
            self.records[key].answer is None or self.records[key].answer.error
            for key in transaction.sent_keys
        ):
            self.cluster.close_caller(transaction.proxy, transaction.conn)
            return
        req = scenarios.transaction_request(
            self.cluster,
            request.Kind.COMMIT,
            transaction.begin_id,
            timeout_s=3.0,
        )
        record = checker.RequestRecord(
            req, transaction.tags, write_id=req.request_id
        )
        self.writes.append(record)
        self._send(
            transaction.proxy, transaction.session_index, record, transaction
        )

    @stateful.precondition(lambda self: self.transactions)
    @stateful.rule(data=st.data())
    def abandon_transaction(self, data):
        transaction = data.draw(st.sampled_from(self.transactions))
        self.transactions.remove(transaction)
        self.cluster.close_caller(transaction.proxy, transaction.conn)

    @stateful.rule(
        proxy=PROXY_NAMES, session=SESSION_INDEXES, commits=st.booleans()
    )
    def run_transaction(self, proxy, session, commits):
        """Runs all steps of a transaction; other requests stay in flight."""
        self.open_transaction(proxy, session)
        transaction = self.transactions[-1]
        for _ in transaction.tags:
            self.cluster.run(0.02)
            self._step(transaction)
        self.cluster.run(0.02)
        if commits:
            self._commit(transaction)

    # Faults.

    @stateful.rule()
    def restart_killed_proxies(self):
        for name in PROXIES:
            if name not in self.cluster.proxies:
                self.cluster.start(name)
        self.cluster.run(1.0)

    @stateful.rule(name=PROXY_NAMES)
    def kill_proxy(self, name):
        if name in self.cluster.proxies and len(self.cluster.proxies) > 1:
            self.totals["proxies killed"] += 1
            self.cluster.kill(name)

    @stateful.rule(name=PROXY_NAMES, seconds=st.sampled_from((0.5, 2.0, 4.0)))
    def pause_proxy(self, name, seconds):
        if name in self.cluster.proxies:
            self.totals["proxies paused"] += 1
            self.cluster.pause(name, seconds)

    @stateful.rule(name=st.sampled_from(UPSTREAMS))
    def toggle_upstream(self, name):
        fake = self.cluster.upstreams[name]
        others = [u for u in self.cluster.upstreams.values() if u is not fake]
        if fake.alive and all(u.alive for u in others):
            self.totals["upstreams stopped"] += 1
            fake.alive = False
        else:
            fake.alive = True

    @stateful.rule(
        name=st.sampled_from(UPSTREAMS), is_replicating=st.booleans()
    )
    def set_replication(self, name, is_replicating):
        """Stops or resumes replication of one upstream."""
        others = [u for u in UPSTREAMS if u != name]
        if all(self.cluster.upstreams[u].is_replicating for u in others):
            self.totals["replicas held back"] += not is_replicating
            self.cluster.upstreams[name].is_replicating = is_replicating

    @stateful.rule()
    def break_connections(self):
        self.totals["connections broken"] += (
            self.cluster.break_busy_connections()
        )

    @stateful.rule(
        loss_rate=FAULT_RATES,
        duplication_rate=FAULT_RATES,
        delay_rate=FAULT_RATES,
    )
    def set_message_faults(self, loss_rate, duplication_rate, delay_rate):
        self.cluster.faults = simulated_network.Faults(
            loss_rate, duplication_rate, delay_rate
        )

    @stateful.rule(seconds=st.sampled_from((0.002, 0.005, 0.01, 0.1, 1.0)))
    def advance_time(self, seconds):
        self.cluster.run(seconds)

    @stateful.rule()
    def clear_faults(self):
        """Ends message faults, restarts stopped nodes, and runs for 3 s."""
        self.cluster.faults = simulated_network.Faults()
        for fake in self.cluster.upstreams.values():
            fake.alive = True
        self.restart_killed_proxies()
        self.cluster.run(2.0)

    # Final check.

    def teardown(self):
        if not hasattr(self, "cluster"):
            return
        self.cluster.faults = simulated_network.Faults()
        for fake in self.cluster.upstreams.values():
            fake.alive = True
            fake.is_replicating = True
        for name in PROXIES:
            if name not in self.cluster.proxies:
                self.cluster.start(name)
        self.cluster.run(RECOVERY_S)
        self._collect_answers()
        history = list(self.records.values())
        self._count_outcomes(history)
        log = self.cluster.primary().engine.log
        violations = checker.find_violations(history, self.cluster.rows(), log)
        assert violations == []
        assert self.cluster.duplicate_answers == 0

    def _count_outcomes(self, history: list[checker.RequestRecord]) -> None:
        self.totals["runs"] += 1
        self.totals["message faults"] += self.cluster.message_faults
        for record in history:
            outcome = record.answer.outcome if record.answer else "no answer"
            self.totals[f"{record.req.kind} {outcome}"] += 1

    def _send(
        self,
        proxy: str,
        session: int,
        record: checker.RequestRecord,
        transaction: Transaction | None = None,
    ) -> None:
        self._collect_answers()
        conn = transaction.conn if transaction else 1 + session
        if proxy not in self.cluster.proxies:
            error = errors.NoRouteError()
            record.answer = request.Answer(record.req.request_id, error=error)
        seq = self.cluster.send(proxy, conn, record.req)
        key = (proxy, conn, seq)
        self.records[key] = record
        self.session_indexes[key] = session
        if transaction:
            transaction.sent_keys.append(key)

    def _collect_answers(self) -> None:
        """Records new answers and updates the sessions.

        The client library updates its sessions in the same way.
        """
        for key, record in self.records.items():
            if record.answer is None and key in self.cluster.answers:
                record.answer = self.cluster.answers[key]
                self._update_session(
                    self.sessions[self.session_indexes[key]], record
                )

    def _update_session(
        self, session: ClientSession, record: checker.RequestRecord
    ) -> None:
        answer = record.answer
        if answer.token is not None:
            known_position = session.token or position.ORIGIN
            session.token = max(known_position, answer.token)
            session.known_tags.update(record.tags)
            session.unsure = False
        elif record.tags and answer.outcome is errors.Outcome.UNKNOWN:
            session.unsure = True
