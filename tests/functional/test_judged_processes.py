"""The judge of a deployment sees what real processes exchange."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from fescueshunt_standins.hosted import deployment, server, wire_reader

ROUTE = "card-renew"
MAX_BYTES = wire_reader.MAX_MESSAGE_BYTES
START = f"START {server.DATABASE} caller\r\n".encode()


async def _prepare_and_execute(client: deployment.LineClient, text: str):
    """Prepares a statement as `s` and executes it; returns the last answer."""
    assert (await client.execute(f"PREPARE s {text}"))[0] == "COMPLETE -"
    data = " 1" if text.startswith("WRITE") else ""
    return await client.execute(f"EXECUTE s it0{data}")


# Failure: a prepared statement whose shape holds blanks runs as another one,
# with another shape and other arguments.
@pytest.mark.parametrize(
    "text", ["READ q5 READ cq", "WRITE q5 WRITE cw", "READ q5", "READ  q5 "]
)
def test_prepared_statement_runs_with_its_shape(text):
    async def run() -> list[str]:
        async with deployment.running(1) as deployed:
            address = deployed.hosts[0].session_address
            async with deployment.session(address, ROUTE) as client:
                answer = await _prepare_and_execute(client, text)
            assert await deployed.read_violations() == []
        return answer

    assert asyncio.run(run())[-2].startswith("COMPLETE u-")


# Failure: the shape of one client's prepared statement changes what runs for
# another client of the same host, which has prepared a plain one.
def test_client_with_another_shape_does_not_change_a_bystander():
    async def run() -> None:
        async with deployment.running(1) as deployed:
            address = deployed.hosts[0].session_address
            async with (
                deployment.session(address, ROUTE) as plain,
                deployment.session(address, ROUTE) as odd,
            ):
                for _ in range(10):
                    await _prepare_and_execute(plain, "READ q5")
                    await _prepare_and_execute(odd, "READ q5 READ cq")

    asyncio.run(run())


async def _upstream_address(deployed: deployment.Deployment) -> str:
    """Returns the address of an upstream of the stand-in."""
    entry = await deployed.read_entry("u-a")
    return entry["address"]


async def _send_to_upstream(address: str, data: bytes) -> bytes:
    """Sends to an upstream beside all hosts and returns its answer."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(START + data)
    writer.write_eof()
    async with asyncio.timeout(deployment.ANSWER_TIMEOUT_S):
        answer = await reader.read()
    writer.close()
    return answer


# Failure: the stand-in gives up at a message that the protocol permits, or runs
# a longer one, so that a test can't tell the two apart.
@pytest.mark.parametrize(
    ("data_bytes", "rules"),
    [
        (MAX_BYTES - 100, []),
        (MAX_BYTES, ["unasked"]),
        (3 * MAX_BYTES, ["unasked"]),
    ],
)
def test_stand_in_takes_messages_up_to_the_limit(data_bytes, rules):
    async def run() -> None:
        async with deployment.running(1) as deployed:
            address = await _upstream_address(deployed)
            data = b"QUERY q WRITE a " + b"x" * data_bytes + b"\r\n"
            # It may end the connection only at a message that is too long.
            may_end = (ConnectionError,) if rules else ()
            with contextlib.suppress(*may_end):
                answer = await _send_to_upstream(address, data)
                assert (b"COMPLETE" in answer) == (not rules)
            found.extend(await deployed.read_violations())

    found: list[dict[str, str]] = []
    # No client has sent it, which shows with the journals of both sides.
    with pytest.raises(deployment.ViolationError, match="UNASKED"):
        asyncio.run(run())
    assert [each["rule"] for each in found] == rules


# Failure: a deployment ends without an error though an upstream ran what no
# client sent, so that a functional test passes over it.
@pytest.mark.parametrize(
    ("data", "is_seen_at_once"),
    [
        (b"QUERY nobody WRITE a 1\r\n", False),
        (b"QUERY - WRITE a 1\r\n", True),
        (b"QUERY q1 READ a\nQUERY q2 READ b\r\n", True),
        (b"QUERY q1  READ a\r\n", True),
        (b"QUERY - PREPARE r READ q\r\nQUERY q EXECUTE r b c\r\n", True),
    ],
)
def test_deployment_fails_on_what_no_client_sent(data, is_seen_at_once):
    async def run() -> list[dict[str, str]]:
        async with deployment.running(1) as deployed:
            address = await _upstream_address(deployed)
            assert (await _send_to_upstream(address, data)).count(b"READY") >= 2
            found.extend(await deployed.read_violations())

    found: list[dict[str, str]] = []
    with pytest.raises(deployment.ViolationError, match="UNASKED"):
        asyncio.run(run())
    assert [each["rule"] for each in found] == ["unasked"] * is_seen_at_once
