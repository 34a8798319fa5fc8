"""Demo on loopback: client sessions on hosts while a primary crashes."""

from __future__ import annotations

import asyncio
import sys

from fescueshunt_standins.hosted import deployment

RETRY_DELAY_S = 0.2


async def show(client: deployment.LineClient, text: str) -> list[str]:
    """Sends a statement, prints the answer and returns it."""
    answer = await client.execute(text)
    print(f"  {text:28} -> {' | '.join(answer)}")
    return answer


async def write_until_done(address: str, text: str) -> int:
    """Repeats a write until it succeeds and returns the number of refusals."""
    refusals = 0
    while True:
        async with deployment.session(address, "card-renew") as client:
            answer = await client.execute(text)
        if answer[-2].startswith("COMPLETE"):
            return refusals
        refusals += 1
        await asyncio.sleep(RETRY_DELAY_S)


async def main() -> int:
    """Runs the demo and returns its exit code."""
    print("Starting the platform's stand-in, 3 upstreams and 2 hosts.")
    async with deployment.running() as deployed:
        first_host, second_host = deployed.hosts
        print("A session on the first host:")
        async with deployment.session(
            first_host.session_address, "agent-history"
        ) as client:
            await show(client, "WRITE c1 2027-03-10")
            await show(client, "READ c1")
            await show(client, "BEGIN")
            await show(client, "WRITE c2 2027-01-01")
            await show(client, "COMMIT")
        print(
            "The primary crashes; writes are refused until another is promoted:"
        )
        await deployed.control_upstream("crash", "u-a")
        refusals = await write_until_done(
            first_host.session_address, "WRITE c3 2027-05-05"
        )
        print(f"  written after {refusals} refusals")
        print("A session on the second host reads all values:")
        async with deployment.session(
            second_host.session_address, "card-renew"
        ) as client:
            await show(client, "READ c1")
    print("All processes ended.")
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
