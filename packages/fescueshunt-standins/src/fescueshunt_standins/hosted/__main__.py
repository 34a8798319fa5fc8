"""Runs the platform's stand-in until SIGTERM."""

from __future__ import annotations

import asyncio
import signal

import defopt

from fescueshunt_standins.hosted import server


def main(address: str) -> None:
    """Serves the store and the promotion call.

    Args:
      address: where; IP number:port.
    """
    asyncio.run(_serve(address))


async def _serve(address: str) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    async with server.running(address):
        print(address, flush=True)
        await stopped.wait()


if __name__ == "__main__":
    defopt.run(main)
