"""`fescueshunt query`: runs SQL statements through a proxy."""

from __future__ import annotations

import sys

import tabulate

from fescueshunt.core import request
from fescueshunt_cli import caller
from fescueshunt_cli._internal.commands import base


class QueryCommand(base.Command):
    """The command `query`, which runs SQL and prints the results."""

    name = "query"

    def run(
        self,
        address: str,
        service: str,
        database: str,
        *sql: str,
        write: bool = False,
        request_id: str = "",
        max_age_s: float | None = None,
        timeout_s: float = caller.DEFAULT_TIMEOUT_S,
    ) -> int:
        """Runs SQL statements as one request and prints the results.

        Args:
          address: the address of any proxy, as IP:port.
          service: the name of the declared service.
          database: the name of the database.
          sql: the SQL statements, run in order and atomically.
          write: run the statements as a write, not as a read.
          request_id: the request id, 32 hex digits; by default, a new one. A
            retry of a request has the same id.
          max_age_s: the maximum age of the data that a read returns; seconds.
          timeout_s: the time-out of the request; seconds.
        """
        req = request.Request(
            bytes.fromhex(request_id) or caller.new_request_id(),
            service,
            database,
            request.Kind.WRITE if write else request.Kind.READ,
            tuple(request.Statement(text) for text in sql),
            max_age_s=max_age_s,
            timeout_s=timeout_s,
        )
        return base.run_async(_run(address, req))


async def _run(address: str, req: request.Request) -> int:
    async with caller.session(address, "query") as session:
        answer = await session.send(req)
    return print_answer(answer)


def print_answer(answer: request.Answer) -> int:
    """Prints the results and the error of `answer`; returns the exit code."""
    for result in answer.results:
        if result.columns:
            print(tabulate.tabulate(result.rows, result.columns))
    role = "replica" if answer.from_replica else "primary"
    print(
        f"request {answer.request_id.hex()} outcome {answer.outcome.value} "
        f"upstream {answer.upstream or '-'} ({role}) "
        f"repeated {answer.repeated}",
        file=sys.stderr,
    )
    if answer.error is not None:
        print(answer.error, file=sys.stderr)
    return base.exit_code(answer.outcome)
