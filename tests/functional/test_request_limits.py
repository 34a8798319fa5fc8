"""Limits on statements, results and the ledger in a simulation."""

import pytest

from fescueshunt import errors
from fescueshunt.core import request
from fescueshunt.request import ledger
from lib import scenarios, simulation

Kind = request.Kind


@pytest.mark.parametrize(
    "sql",
    [
        "COMMIT",
        " /* x */ rollback",
        "-- x\nBEGIN",
        "PRAGMA query_only",
        "ATTACH ':memory:' AS other",
        "SAVEPOINT a",
        "DELETE FROM fescueshunt_ledger",
        'SELECT * FROM "FESCUESHUNT_Ledger"',
    ],
)
def test_reserved_statements_are_refused(cluster, home, sql):
    req = request.Request(
        cluster.new_request_id(),
        "pay",
        "db",
        Kind.WRITE,
        (request.Statement(sql),),
    )
    answer = cluster.execute(home, req)
    assert isinstance(answer.error, errors.RequestInvalidError)


@pytest.mark.parametrize("kind", [Kind.READ, Kind.WRITE])
def test_too_large_result_is_an_error_and_rolled_back(cluster, home, kind):
    large = request.Statement("SELECT hex(zeroblob(400000))")
    statements = (scenarios.insert_statement("never"), large)
    if kind is Kind.READ:
        statements = (large,)
    req = request.Request(
        cluster.new_request_id(), "pay", "db", kind, statements
    )
    answer = cluster.execute(home, req)
    assert isinstance(answer.error, errors.ResultTooLargeError)
    assert (
        cluster.execute(home, scenarios.write_request(cluster, "next")).error
        is None
    )
    assert cluster.rows() == ["next"]


def test_purge_deletes_only_expired_ids(cluster, home):
    old_s = (
        simulation.WALL_CLOCK_OFFSET_S + cluster.now - ledger.PURGE_AFTER_S - 1
    )
    retained_s = (
        simulation.WALL_CLOCK_OFFSET_S + cluster.now - ledger.RETENTION_S
    )
    engine = cluster.upstreams["db-0"].engine
    ids = [
        request.make_request_id(at_s, bytes([n]) * 10)
        for n, at_s in enumerate([old_s] * 3 + [retained_s] * 2)
    ]
    engine.begin()
    engine.execute(
        tuple(ledger.insert_statement(i, b"", ledger.RowState.RUN) for i in ids)
    )
    engine.commit()
    cluster.run(12.0)
    rows = [engine.read((ledger.select_statement(i),))[0].rows for i in ids]
    assert [bool(row) for row in rows] == [False] * 3 + [True] * 2
