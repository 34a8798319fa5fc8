"""Demo on loopback: runs requests through the proxies and shows each hop."""

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
FLEET_OPTIONS = fleets.FleetOptions(
    schema_sql="CREATE TABLE card (id TEXT PRIMARY KEY, valid_until TEXT)"
)
READY_TIMEOUT_S = 30.0
POLL_DELAY_S = 0.2
EXTEND_CARD = request.Statement(
    "UPDATE card SET valid_until = '2028-03-10' WHERE id = 'c1'"
)
ADD_CARD = request.Statement("INSERT INTO card VALUES ('c1', '2027-03-10')")
SHOW_CARD = request.Statement("SELECT * FROM card WHERE id = 'c1'")
SHOW_ALL_CARDS = request.Statement("SELECT * FROM card ORDER BY id")
ADD_OTHER_CARD = request.Statement(
    "INSERT INTO card VALUES ('c2', '2027-01-01')"
)


async def wait_ready(fleet: fleets.Fleet) -> None:
    """Waits until every proxy answers a read.

    Raises:
      TimeoutError: if a proxy does not answer within READY_TIMEOUT_S.
    """
    for process in fleet.proxies.values():
        async with (
            asyncio.timeout(READY_TIMEOUT_S),
            caller.session(process.address) as session,
        ):
            while (
                await session.read("gate-status", DATABASE, SHOW_CARD)
            ).error:
                await asyncio.sleep(POLL_DELAY_S)


def show(title: str, answer: request.Answer) -> None:
    """Prints an answer to a request.

    Raises:
      FescueshuntError: the error of the answer, if it has one.
    """
    if answer.error is not None:
        raise answer.error
    rows = [row for result in answer.results for row in result.rows]
    role = "replica" if answer.from_replica else "primary"
    print(f"- {title}: {rows or 'done'} by {answer.upstream} ({role})")


def show_hops(fleet: fleets.Fleet, answer: request.Answer) -> None:
    """Prints the hops of a request as a tree, from the trace files."""
    request_id = answer.request_id.hex()
    files = fleet.trace_files()
    hops = [h for path in files for h in trace.read_spans(path, request_id)]
    for line in trace.format_tree(hops):
        print(f"    {line}")


async def run_requests(fleet: fleets.Fleet) -> None:
    """Runs writes, reads and a transaction through two proxies.

    Also moves a session to another proxy and repeats a request id.
    """
    first_proxy, *_, last_proxy = fleet.proxies.values()
    async with caller.session(
        first_proxy.address, "counter-1"
    ) as first_session:
        show(
            "write on " + first_proxy.name, await renew(first_session, ADD_CARD)
        )
        async with caller.session(
            last_proxy.address, "counter-1", first_session.token
        ) as last_session:
            answer = await last_session.read(
                "counter-read", DATABASE, SHOW_CARD
            )
            show("read it on " + last_proxy.name, answer)
            show_hops(fleet, answer)
            await transact(last_session)
            answer = await last_session.read(
                "gate-status", DATABASE, SHOW_ALL_CARDS
            )
            show(f"read of age {answer.age_s:.3f} s", answer)
            request_id = caller.new_request_id()
            answer = await renew(first_session, EXTEND_CARD, request_id)
            show("renewal on " + first_proxy.name, answer)
            answer = await renew(last_session, EXTEND_CARD, request_id)
            show(
                f"same id on {last_proxy.name}, repeated={answer.repeated}",
                answer,
            )
            show_hops(fleet, answer)


async def renew(
    session: caller.Session,
    statement: request.Statement,
    request_id: bytes = b"",
) -> request.Answer:
    """Runs a write statement as the service `renew-card`."""
    return await session.write(
        "renew-card", DATABASE, statement, request_id=request_id
    )


async def transact(session: caller.Session) -> None:
    """Runs a write transaction with two statements."""
    async with session.transaction("renew-card", DATABASE) as transaction:
        await transaction.run(ADD_OTHER_CARD)
        show("within the transaction", await transaction.run(SHOW_ALL_CARDS))
    show("committed", transaction.answer)


async def main() -> int:
    """Runs the demo and returns its exit code."""
    settings_document = deployment.load(DEPLOYMENT)
    settings_document = dataclasses.replace(
        settings_document, databases=settings_document.databases[:1]
    )
    print("Starting the platform, 3 upstreams and 4 proxies in 2 zones.")
    async with fleets.running(settings_document, FLEET_OPTIONS, ZONES) as fleet:
        await wait_ready(fleet)
        try:
            await run_requests(fleet)
        except errors.FescueshuntError as exc:
            print(f"failed: {exc}")
            return 1
    print("All processes ended.")
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
