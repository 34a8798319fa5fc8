"""Command line of the platform stand-in; it runs until SIGTERM or SIGINT."""

from __future__ import annotations

import asyncio
import pathlib
import signal

import defopt

from fescueshunt_standins.hosted import lines, server


def main(
    address: str,
    *,
    statement_duration_s: float = lines.CALL_DURATION_S,
    journal: str = "",
) -> None:
    """Serves the key-value store and the promotion call.

    Args:
      address: the IP address and port to listen on, as `ip:port`.
      statement_duration_s: how long a client's statement takes at an upstream.
      journal: the file to write the messages of the upstreams to, "" for none.
    """
    path = pathlib.Path(journal) if journal else None
    asyncio.run(_serve(address, statement_duration_s, path))


async def _serve(
    address: str,
    statement_duration_s: float,
    journal_path: pathlib.Path | None,
) -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    running = server.running(address, statement_duration_s, journal_path)
    async with running:
        print(address, flush=True)
        await stop_requested.wait()


if __name__ == "__main__":
    defopt.run(main)
