"""Scenarios in a simulated cluster, and builders of requests for tests.

`record_traces.py` records a trace of each scenario in `ALL`.
"""

from __future__ import annotations

from collections.abc import Callable

from fescueshunt.core import items, peer, process, request, upstream
from lib import simulated_settings, simulation

INSERT_SQL = "INSERT INTO hit VALUES (?)"
SELECT_TAGS = request.Statement("SELECT tag FROM hit ORDER BY rowid")
RecordedRun = tuple[simulation.SimulatedCluster, str]


def insert_statement(tag: str) -> request.Statement:
    """Returns a statement that inserts a row with `tag`."""
    return request.Statement(INSERT_SQL, (tag,))


def write_request(
    cluster: simulation.SimulatedCluster,
    tag: str,
    request_id: bytes = b"",
    **fields,
) -> request.Request:
    """Returns a request that inserts one row."""
    return request.Request(
        request_id or cluster.new_request_id(),
        "pay",
        "db",
        request.Kind.WRITE,
        (insert_statement(tag),),
        **fields,
    )


def read_request(
    cluster: simulation.SimulatedCluster, service: str = "look", **fields
):
    """Returns a request that reads all rows."""
    return request.Request(
        cluster.new_request_id(),
        service,
        "db",
        request.Kind.READ,
        (SELECT_TAGS,),
        **fields,
    )


def transaction_request(
    cluster: simulation.SimulatedCluster,
    kind: request.Kind,
    begin_id: bytes,
    *statements,
    **fields,
) -> request.Request:
    """Returns a request of a transaction.

    `begin_id` is the request id of the transaction's BEGIN.
    """
    is_begin = kind is request.Kind.BEGIN
    return request.Request(
        begin_id if is_begin else cluster.new_request_id(),
        "pay",
        "db",
        kind,
        statements,
        transaction=b"" if is_begin else begin_id,
        **fields,
    )


def find_home(cluster: simulation.SimulatedCluster) -> tuple[str, str]:
    """Returns the home proxy of the database, and another proxy.

    A proxy is the home if it answers a read without sending a message to
    another proxy.
    """
    cluster.effect_counts.clear()
    for name in sorted(cluster.proxies):
        cluster.execute(name, read_request(cluster))
        if "SendPeer" not in cluster.effect_counts:
            return name, next(n for n in sorted(cluster.proxies) if n != name)
        cluster.effect_counts.clear()
    raise AssertionError("no proxy is the home of the database")


def whole_path() -> RecordedRun:
    """A write, reads through two proxies, and a transaction.

    The last read has an age limit. At the end, the write is sent again.
    """
    cluster = simulation.SimulatedCluster()
    home, other = find_home(cluster)
    req = write_request(cluster, "first")
    token = cluster.execute(home, req).token
    cluster.execute(other, read_request(cluster, after=token))
    cluster.execute(home, read_request(cluster, after=token))
    begin_id = cluster.new_request_id()
    cluster.execute(
        home, transaction_request(cluster, request.Kind.BEGIN, begin_id)
    )
    for tag in ("second", "third"):
        step_req = transaction_request(
            cluster, request.Kind.STEP, begin_id, insert_statement(tag)
        )
        cluster.execute(home, step_req)
    cluster.execute(
        home, transaction_request(cluster, request.Kind.COMMIT, begin_id)
    )
    cluster.execute(home, read_request(cluster, "old"))
    cluster.execute(home, req)
    return cluster, home


def read_your_writes() -> RecordedRun:
    """A session reads its own write while one replica doesn't replicate."""
    cluster = simulation.SimulatedCluster()
    home, other = find_home(cluster)
    cluster.upstreams["db-2"].is_replicating = False
    token = cluster.execute(other, write_request(cluster, "mine")).token
    for _ in range(6):
        cluster.execute(other, read_request(cluster, after=token))
    return cluster, other


def replaced_primary() -> RecordedRun:
    """A primary commits and is replaced before any replica has the entry."""
    cluster = simulation.SimulatedCluster(proxies=3)
    home, _ = find_home(cluster)
    for name in ("db-1", "db-2"):
        cluster.upstreams[name].is_replicating = False
    req = write_request(cluster, "torn", timeout_s=3.0)
    cluster.send(home, 1, req)
    cluster.run(0.1)
    cluster.upstreams["db-0"].alive = False
    for name in ("db-1", "db-2"):
        cluster.upstreams[name].is_replicating = True
    cluster.run(5.0)
    cluster.execute(home, req)
    return cluster, home


def transactions() -> RecordedRun:
    """Two transactions, and a step for one of them on a third connection."""
    cluster = simulation.SimulatedCluster()
    home, _ = find_home(cluster)
    first, second = cluster.new_request_id(), cluster.new_request_id()
    cluster.execute(
        home, transaction_request(cluster, request.Kind.BEGIN, first), 1
    )
    cluster.send(
        home, 2, transaction_request(cluster, request.Kind.BEGIN, second)
    )
    cluster.execute(
        home,
        transaction_request(
            cluster, request.Kind.STEP, first, insert_statement("a1")
        ),
        1,
    )
    foreign_step = transaction_request(
        cluster, request.Kind.STEP, first, insert_statement("x")
    )
    cluster.execute(home, foreign_step, 3)
    cluster.execute(
        home,
        transaction_request(
            cluster, request.Kind.STEP, first, insert_statement("a2")
        ),
        1,
    )
    cluster.execute(
        home, transaction_request(cluster, request.Kind.COMMIT, first), 1
    )
    cluster.run(0.05)
    cluster.execute(
        home,
        transaction_request(
            cluster, request.Kind.STEP, second, insert_statement("b1")
        ),
        2,
    )
    cluster.execute(
        home, transaction_request(cluster, request.Kind.COMMIT, second), 2
    )
    return cluster, home


def crossed_answers() -> RecordedRun:
    """Answers to requests of an earlier incarnation arrive at a proxy.

    They have the same forwarding keys as new requests, but other request ids.
    """
    cluster = simulation.SimulatedCluster()
    home, other = find_home(cluster)
    cluster.send(other, 1, read_request(cluster))
    for key in range(1, 20):
        stale_answer = request.Answer(
            cluster.new_request_id(), upstream="stray"
        )
        message = peer.ForwardedAnswer(key, stale_answer)
        cluster.feed(other, items.PeerReceived(cluster.now, home, message))
    cluster.run(0.2)
    return cluster, other


def silent_statement() -> RecordedRun:
    """The first call of a write is lost, and the write misses its deadline."""
    cluster = simulation.SimulatedCluster()
    home, _ = find_home(cluster)
    cluster.delivery_hook = lambda message: (
        []
        if isinstance(message, upstream.Execute)
        and message.mode is upstream.Mode.BEGIN
        else None
    )
    cluster.execute(home, write_request(cluster, "never", timeout_s=1.0))
    cluster.run(1.0)
    return cluster, home


def lost_commit_answer() -> RecordedRun:
    """The reply to a commit is lost, and the same request is sent again."""
    cluster = simulation.SimulatedCluster()
    home, _ = find_home(cluster)
    lost_replies: list[object] = []

    def lose_first_commit_reply(message: object) -> list[float] | None:
        is_commit = isinstance(message, upstream.Executed) and (
            len(message.results) == 1 and not lost_replies
        )
        if not is_commit:
            return None
        lost_replies.append(message)
        return []

    cluster.delivery_hook = lose_first_commit_reply
    req = write_request(cluster, "once")
    cluster.execute(home, req)
    cluster.execute(home, req)
    return cluster, home


def leaving_upstream() -> RecordedRun:
    """Operators drain a replica while reads continue."""
    cluster = simulation.SimulatedCluster()
    home, _ = find_home(cluster)
    for number in range(6):
        cluster.execute(home, read_request(cluster, "old"), number)
    drained = simulated_settings.drain_upstream(cluster.settings, "db-2")
    cluster.settings = drained
    cluster.feed(home, items.SettingsRead(cluster.now, drained, 2))
    cluster.feed(
        home, items.SettingsRead(cluster.now, simulated_settings.SETTINGS, 1)
    )
    cluster.run(2.0)
    for number in range(6):
        cluster.execute(home, read_request(cluster, "old"), number)
    return cluster, home


def planned_stop() -> RecordedRun:
    """A proxy is told to stop while a transaction and a write are open."""
    cluster = simulation.SimulatedCluster()
    home, _ = find_home(cluster)
    begin_id = cluster.new_request_id()
    stopping = cluster.proxies[home]
    cluster.execute(
        home, transaction_request(cluster, request.Kind.BEGIN, begin_id)
    )
    cluster.send(home, 2, write_request(cluster, "queued"))
    cluster.feed(home, process.StopAsked(cluster.now))
    cluster.run(1.5)
    cluster.execute(home, read_request(cluster), 3)
    cluster.execute(
        home,
        transaction_request(
            cluster, request.Kind.STEP, begin_id, insert_statement("kept")
        ),
    )
    cluster.execute(
        home, transaction_request(cluster, request.Kind.COMMIT, begin_id)
    )
    cluster.run(1.0)
    cluster.proxies[home] = stopping
    return cluster, home


ALL: dict[str, Callable[[], RecordedRun]] = {
    scenario.__name__: scenario
    for scenario in (
        whole_path,
        read_your_writes,
        replaced_primary,
        transactions,
        crossed_answers,
        silent_statement,
        lost_commit_answer,
        leaving_upstream,
        planned_stop,
    )
}


def begin_transaction(cluster, proxy, conn=1):
    begin_id = cluster.new_request_id()
    req = transaction_request(cluster, request.Kind.BEGIN, begin_id)
    assert cluster.execute(proxy, req, conn).error is None
    return begin_id


def step_request(cluster, begin_id, tag):
    return transaction_request(
        cluster, request.Kind.STEP, begin_id, insert_statement(tag)
    )


def commit_request(cluster, begin_id, **fields):
    return transaction_request(cluster, request.Kind.COMMIT, begin_id, **fields)


def commit_transaction(cluster, proxy, begin_id):
    req = commit_request(cluster, begin_id)
    assert cluster.execute(proxy, req).error is None


def outcome_request(cluster, request_id, **fields):
    return request.Request(
        cluster.new_request_id(),
        "pay",
        "db",
        request.Kind.OUTCOME,
        transaction=request_id,
        **fields,
    )
