"""`fescueshunt outcome`: finds the outcome of an earlier write."""

from __future__ import annotations

from fescueshunt_cli import caller
from fescueshunt_cli._internal.commands import base, query


class OutcomeCommand(base.Command):
    """The command `outcome`, which asks a proxy for a write's outcome."""

    name = "outcome"

    def run(
        self, address: str, service: str, database: str, request_id: str
    ) -> int:
        """Prints the outcome of an earlier write.

        If the write ran, its answer is printed. If it has not run by now, it
        will never run.

        Args:
          address: the address of any proxy, as IP:port.
          service: the name of the write's service.
          database: the name of the write's database.
          request_id: the request id of the write; 32 hex digits.
        """
        write_id = bytes.fromhex(request_id)
        return base.run_async(_run(address, service, database, write_id))


async def _run(
    address: str, service: str, database: str, request_id: bytes
) -> int:
    async with caller.session(address, "outcome") as session:
        answer = await session.outcome(service, database, request_id)
    return query.print_answer(answer)
