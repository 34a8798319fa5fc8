"""The whole path on loopback: starts the processes and shows each hop."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import sys

from fescueshunt import errors
from fescueshunt.core import request
from fescueshunt_cli import caller
from fescueshunt_cli._internal import deployment
from fescueshunt_cli._internal.commands import trace
from fescueshunt_standins import fleet as fleets

ROOT = pathlib.Path(__file__).resolve().parents[1]
DEPLOYMENT = ROOT / "config" / "sahil-om-muscat.ini"
ZONES = ("mct-ruwi", "mct-seeb")
DATABASE = "renew-1"
SITE = fleets.Site(
    schema_sql="CREATE TABLE card (id TEXT PRIMARY KEY, valid_until TEXT)"
)
READY_TIMEOUT_S = 30.0
PAUSE_S = 0.2
EXTEND = request.Statement(
    "UPDATE card SET valid_until = '2028-03-10' WHERE id = 'c1'"
)
ADD = request.Statement("INSERT INTO card VALUES ('c1', '2027-03-10')")
SHOW = request.Statement("SELECT * FROM card WHERE id = 'c1'")
SHOW_ALL = request.Statement("SELECT * FROM card ORDER BY id")
ADD_OTHER = request.Statement("INSERT INTO card VALUES ('c2', '2027-01-01')")


async def wait_ready(fleet: fleets.Fleet) -> None:
    """Waits until every proxy serves.

    Raises:
      NoRouteError: if one doesn't within READY_TIMEOUT_S.
    """
    for process in fleet.proxies.values():
        async with (
            asyncio.timeout(READY_TIMEOUT_S),
            caller.session(process.address) as session,
        ):
            while (await session.read("gate-status", DATABASE, SHOW)).error:
                await asyncio.sleep(PAUSE_S)


def show(title: str, answer: request.Answer) -> None:
    """Prints one answer.

    Raises:
      FescueshuntError: the error of the answer, if it has one.
    """
    if answer.error is not None:
        raise answer.error
    rows = [row for result in answer.results for row in result.rows]
    served = "replica" if answer.from_replica else "primary"
    print(f"- {title}: {rows or 'done'} by {answer.upstream} ({served})")


def show_hops(fleet: fleets.Fleet, answer: request.Answer) -> None:
    """Prints the trace of one request."""
    request_id = answer.request_id.hex()
    files = fleet.trace_files()
    hops = [h for path in files for h in trace.read_spans(path, request_id)]
    for line in trace.format_tree(hops):
        print(f"    {line}")


async def run_path(fleet: fleets.Fleet) -> None:
    """Runs the path: write, roam, read, transact, age, repeat."""
    first, *_, last = fleet.proxies.values()
    async with caller.session(first.address, "counter-1") as here:
        show("write on " + first.name, await renew(here, ADD))
        async with caller.session(
            last.address, "counter-1", here.token
        ) as there:
            answer = await there.read("counter-read", DATABASE, SHOW)
            show("read it on " + last.name, answer)
            show_hops(fleet, answer)
            await transact(there)
            answer = await there.read("gate-status", DATABASE, SHOW_ALL)
            show(f"read of age {answer.age_s:.3f} s", answer)
            request_id = caller.new_request_id()
            answer = await renew(here, EXTEND, request_id)
            show("renewal on " + first.name, answer)
            answer = await renew(there, EXTEND, request_id)
            show(f"same id on {last.name}, repeated={answer.repeated}", answer)
            show_hops(fleet, answer)


async def renew(
    session: caller.Session,
    statement: request.Statement,
    request_id: bytes = b"",
) -> request.Answer:
    """Runs one write of the renewal service."""
    return await session.write(
        "renew-card", DATABASE, statement, request_id=request_id
    )


async def transact(session: caller.Session) -> None:
    """Runs a transaction of two statements."""
    async with session.transaction("renew-card", DATABASE) as opened:
        await opened.run(ADD_OTHER)
        show("within the transaction", await opened.run(SHOW_ALL))
    show("committed", opened.answer)


async def main() -> int:
    """Runs the demo and returns its exit code."""
    declared = deployment.load(DEPLOYMENT)
    declared = dataclasses.replace(declared, databases=declared.databases[:1])
    print("Starting the platform, 3 upstreams and 4 proxies in 2 zones.")
    async with fleets.running(declared, SITE, ZONES) as fleet:
        await wait_ready(fleet)
        try:
            await run_path(fleet)
        except errors.FescueshuntError as exc:
            print(f"failed: {exc}")
            return 1
    print("All processes ended.")
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
