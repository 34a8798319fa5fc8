"""`fescueshunt query`: runs SQL in one session."""

from __future__ import annotations

import sys

import tabulate

from fescueshunt.core import request
from fescueshunt_cli import caller
from fescueshunt_cli._internal.commands import base


class QueryCommand(base.Command):
    """Runs statements through a proxy and prints what they return."""

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
        """Runs SQL statements as one request.

        Args:
          address: a proxy, as IP number:port.
          service: the declared service.
          database: the database.
          sql: the statements, run in order, all or nothing.
          write: run as a write.
          request_id: 32 hex digits; a repeat gives the same id.
          max_age_s: the age that a read accepts; seconds.
          timeout_s: seconds until the caller gives up.
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
        return base.finish(_send(address, req))


async def _send(address: str, req: request.Request) -> int:
    async with caller.session(address, "query") as session:
        answer = await session.send(req)
    return show(answer)


def show(answer: request.Answer) -> int:
    """Prints an answer and returns the exit code for it."""
    for result in answer.results:
        if result.columns:
            print(tabulate.tabulate(result.rows, result.columns))
    served = "replica" if answer.from_replica else "primary"
    print(
        f"request {answer.request_id.hex()} outcome {answer.outcome.value} "
        f"upstream {answer.upstream or '-'} ({served}) "
        f"repeated {answer.repeated}",
        file=sys.stderr,
    )
    if answer.error is not None:
        print(answer.error, file=sys.stderr)
    return base.exit_code(answer.outcome)
