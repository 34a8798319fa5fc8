"""Settings and operators on real processes."""

import asyncio

import pytest

from fescueshunt import errors
from fescueshunt_cli import caller
from fescueshunt_cli._internal import admin_client
from fescueshunt_standins import fleet as fleets
from fescueshunt_wire import platform
from lib import deployments, operator_client


async def spread_and_start_in_an_outage() -> dict[str, float]:
    seen = {}
    async with deployments.running() as fleet:
        proxies = list(fleet.proxies.values())
        seen["first"] = await operator_client.wait_for_revision(proxies, 1)
        answer = await operator_client.run_statement(
            proxies[0], "SET RANK urgent floor = 0.5 BECAUSE 'the eve'"
        )
        assert answer.revision == 2
        seen["store up"] = await operator_client.wait_for_revision(proxies, 2)
        down = platform.SetFault(down=True)
        await fleet.call_stand_in(fleet.platform, down)
        late = fleets.start_proxy(fleet, "proxy-mct-ruwi-9", "mct-ruwi")
        seen["started in outage"] = await operator_client.wait_for_revision(
            [late], 2
        )
        answer = await operator_client.run_statement(
            late, "DRAIN HOST 'proxy-mct-ruwi-1'"
        )
        assert isinstance(answer.error, errors.StoreUnavailableError)
        assert await operator_client.revision_in_force(late) == 2
    return seen


def test_settings_reach_all_proxies_and_one_that_starts_in_an_outage():
    seen = asyncio.run(spread_and_start_in_an_outage())
    print(seen)


SECRETS = (fleets.CHANGER_TOKEN, fleets.READER_TOKEN)


async def use_the_language() -> list[str]:
    traced = (("trace_share", 1.0),)
    async with deployments.running(proxy=traced) as fleet:
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
        answers.append(await explain_a_read(first))
        address = fleets.admin_address(first)
        token = fleets.READER_TOKEN
        async with admin_client.connect(address, token) as operator:
            answers.append(await operator.metrics())
        files = [p.read_text() for p in fleet.folder.glob("proxy-*.log")]
        files += [p.read_text() for p in fleet.trace_files()]
        assert len([text for text in files if text]) == 2 * len(proxies)
        return [*files, *(repr(answer) for answer in answers)]


async def explain_a_read(process):
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
    texts = asyncio.run(use_the_language())
    assert len(texts) > 12
    assert not [t for t in texts for secret in SECRETS if secret in t]
