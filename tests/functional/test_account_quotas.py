"""Accounts with a quota, at host processes with the real composition root."""

from __future__ import annotations

import asyncio
import signal

import pytest

from fescueshunt_standins.hosted import deployment

HOSTS = 3
RATE_PER_S = 50.0
BURST = 50.0
QUOTA_VERSION = 2
# Shares of a former coordinator are valid for 8 s.
SERVED_WITHIN_S = 25.0
RETRY_INTERVAL_S = 0.2
DUTY_HELD = b"fescueshunt_duty_held 1"


async def _wait_until_served(host: deployment.HostProcess) -> None:
    """Runs a statement until it is not refused."""
    async with (
        asyncio.timeout(SERVED_WITHIN_S),
        deployment.session(host.session_address, "card-renew") as client,
    ):
        while (await client.execute("READ a"))[0].startswith("ERROR BUSY"):
            await asyncio.sleep(RETRY_INTERVAL_S)


async def _find_duty_holder(
    hosts: list[deployment.HostProcess],
) -> deployment.HostProcess:
    async with asyncio.timeout(SERVED_WITHIN_S):
        while True:
            for host in hosts:
                if DUTY_HELD in await deployment.read_metrics(host):
                    return host
            await asyncio.sleep(RETRY_INTERVAL_S)


async def _serve_after(signal_number: int | None) -> None:
    """Serves an account with a quota, also after its coordinator has ended."""
    async with deployment.running(HOSTS) as played:
        await played.set_quota(RATE_PER_S, BURST)
        await played.wait_for_routes(QUOTA_VERSION)
        for host in played.hosts:
            await _wait_until_served(host)
        if signal_number is None:
            return
        holder = await _find_duty_holder(played.hosts)
        holder.popen.send_signal(signal_number)
        for host in played.hosts:
            if host is not holder:
                await _wait_until_served(host)


# Failure: the coordinator of quotas never learnt that its host holds the duty,
# and every statement of an account that has a quota was refused.
def test_account_with_a_quota_is_served_by_each_host():
    asyncio.run(_serve_after(None))


@pytest.mark.parametrize("signal_number", [signal.SIGTERM, signal.SIGKILL])
def test_account_with_a_quota_is_served_after_the_duty_has_moved(
    signal_number: int,
):
    asyncio.run(_serve_after(signal_number))
