"""Command line of the platform stand-in; it runs until SIGTERM or SIGINT."""

from __future__ import annotations

import asyncio
import signal

import defopt

from fescueshunt_standins.hosted import server


def main(address: str) -> None:
    """Serves the key-value store and the promotion call.

    Args:
      address: the IP address and port to listen on, as `ip:port`.
    """
    asyncio.run(_serve(address))


async def _serve(address: str) -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    async with server.running(address):
        print(address, flush=True)
        await stop_requested.wait()


if __name__ == "__main__":
    defopt.run(main)
