"""Tests that a statement waiting for the write lock holds no upstream slot.

Otherwise the transaction that holds the lock might find no slot to commit in.
"""

import asyncio
import contextlib

from fescueshunt.core import position, request, upstream
from fescueshunt_standins import upstream as stand_in
from fescueshunt_wire import channel

SETTINGS = stand_in.UpstreamSettings(
    name="u",
    zone="z",
    listen="127.0.0.1:0",
    slots=1,
    connections=4,
    connect_ms=0,
    schema_sql="CREATE TABLE hit (tag TEXT)",
)
WAIT_S = 5.0
INSERT = request.Statement("INSERT INTO hit VALUES ('a')")


def execute(mode: upstream.Mode, *statements: request.Statement):
    return upstream.Execute(mode, position.FIRST_TERM, statements)


@contextlib.asynccontextmanager
async def session(address: str):
    async with channel.connect(address) as client_channel:
        await client_channel.call(upstream.Hello("h", "z"), WAIT_S)
        yield client_channel


def test_transaction_commits_while_another_waits_to_write():
    async def run() -> None:
        async with (
            stand_in.running(SETTINGS) as address,
            session(address) as first,
            session(address) as second,
        ):
            await first.call(execute(upstream.Mode.BEGIN, INSERT), WAIT_S)
            begin = execute(upstream.Mode.BEGIN, INSERT)
            second_begin = asyncio.create_task(second.call(begin, WAIT_S))
            await asyncio.sleep(0.1)
            commit = execute(upstream.Mode.COMMIT)
            committed = await first.call(commit, WAIT_S)
            assert isinstance(committed, upstream.Executed)
            assert isinstance(await second_begin, upstream.Executed)

    asyncio.run(run())
