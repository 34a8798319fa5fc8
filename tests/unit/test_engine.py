"""Tests that the stand-in engine protects transactions and the ledger."""

import pytest

from fescueshunt.core import request, upstream
from fescueshunt.request import ledger
from fescueshunt_standins import engine


@pytest.mark.parametrize(
    "sql",
    [
        "COMMIT",
        "ROLLBACK",
        "SAVEPOINT a",
        "PRAGMA query_only = OFF",
        "ATTACH ':memory:' AS other",
        f"DELETE FROM {ledger.TABLE}",
        f"SELECT id FROM {ledger.TABLE}",
    ],
)
def test_engine_rejects_statements_reserved_for_the_proxy(sql):
    database = engine.Engine(primary=True, schema=("CREATE TABLE t (a)",))
    database.begin()
    with pytest.raises(engine.RejectionError) as raised:
        database.execute((request.Statement(sql),))
    assert raised.value.reason is upstream.Reason.STATEMENT
    database.execute(
        (ledger.insert_statement(bytes(16), b"", ledger.RowState.RUN),)
    )
    database.commit()
    (result,) = database.read((ledger.select_statement(bytes(16)),))
    assert len(result.rows) == 1
