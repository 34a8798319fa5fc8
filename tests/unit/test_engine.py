"""The stand-in's database keeps callers to their own tables."""

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
def test_statement_that_is_not_for_callers(sql):
    database = engine.Engine(primary=True, schema=("CREATE TABLE t (a)",))
    database.begin()
    with pytest.raises(engine.RejectionError) as caught:
        database.step((request.Statement(sql),))
    assert caught.value.reason is upstream.Reason.STATEMENT
    database.step((ledger.insert(bytes(16), b"", ledger.RowState.RUN),))
    database.commit()
    (found,) = database.read((ledger.look_up(bytes(16)),))
    assert len(found.rows) == 1
