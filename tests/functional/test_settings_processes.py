"""Propagation of settings, and operators' statements, on real processes."""

import asyncio

import pytest

from fescueshunt import errors
from fescueshunt_cli import caller
from fescueshunt_cli._internal import admin_client
from fescueshunt_standins import fleet as fleets
from fescueshunt_wire import platform
from lib import deployments, operator_client


async def measure_propagation() -> dict[str, float]:
    delays_s = {}
    async with deployments.running() as fleet:
        proxies = list(fleet.proxies.values())
        delays_s["first"] = await operator_client.wait_for_revision(proxies, 1)
        answer = await operator_client.run_statement(
            proxies[0], "SET RANK urgent floor = 0.5 BECAUSE 'the eve'"
        )
        assert answer.revision == 2
        delays_s["store up"] = await operator_client.wait_for_revision(
            proxies, 2
        )
        down = platform.SetFault(down=True)
        await fleet.call_stand_in(fleet.platform, down)
        late_proxy = fleets.start_proxy(fleet, "proxy-mct-ruwi-9", "mct-ruwi")
        delays_s["started in outage"] = await operator_client.wait_for_revision(
            [late_proxy], 2
        )
        answer = await operator_client.run_statement(
            late_proxy, "DRAIN HOST 'proxy-mct-ruwi-1'"
        )
        assert isinstance(answer.error, errors.StoreUnavailableError)
        assert await operator_client.revision_in_force(late_proxy) == 2
    return delays_s


def test_settings_reach_all_proxies_even_one_started_in_an_outage():
    delays_s = asyncio.run(measure_propagation())
    print(delays_s)


SECRETS = (fleets.CHANGER_TOKEN, fleets.READER_TOKEN)


async def run_statements() -> list[str]:
    proxy_settings = (("trace_share", 1.0),)
    async with deployments.running(proxy=proxy_settings) as fleet:
        proxies = list(fleet.proxies.values())
        await operator_client.wait_for_revision(proxies, 1)
        first = proxies[0]
        answers = [
            await operator_client.run_statement(first, text)
            for text in (
                "SHOW members",
                "SHOW homes",
                "SHOW upstreams",
                "SHOW history",
                "SHOW sessions",
                "SHOW refusals",
                "DRAIN UPSTREAM 'renew-1-b' BECAUSE 'new disk'",
            )
        ]
        assert [answer.error for answer in answers] == [None] * 7
        with pytest.raises(errors.AccessDeniedError):
            await operator_client.run_statement(
                first, "SHOW ranks", "a-token-nobody-has"
            )
        denied = await operator_client.run_statement(
            first, "UNDRAIN UPSTREAM 'renew-1-b'", fleets.READER_TOKEN
        )
        assert isinstance(denied.error, errors.AccessDeniedError)
        await operator_client.wait_for_revision(proxies, 2)
        answers.append(await explain_read(first))
        address = fleets.admin_address(first)
        token = fleets.READER_TOKEN
        async with admin_client.connect(address, token) as operator:
            answers.append(await operator.metrics())
        files = [p.read_text() for p in fleet.folder.glob("proxy-*.log")]
        files += [p.read_text() for p in fleet.trace_files()]
        assert len([text for text in files if text]) == 2 * len(proxies)
        return [*files, *(repr(answer) for answer in answers)]


async def explain_read(process):
    async with caller.session(process.address, "kiosk") as session:
        answer = await session.read(
            deployments.READ_SERVICE, deployments.DATABASE
        )
    explained = await operator_client.run_statement(
        process, f"EXPLAIN REQUEST {answer.request_id.hex()}"
    )
    assert explained.error is None
    steps = [row[2] for row in explained.table.rows]
    assert steps[0] == "request of a caller"
    assert steps[-1] == "answer"
    return explained


def test_statements_work_and_secrets_reach_no_log_trace_or_answer():
    texts = asyncio.run(run_statements())
    assert len(texts) > 12
    assert not [t for t in texts for secret in SECRETS if secret in t]
