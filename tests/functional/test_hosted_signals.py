"""Signals to a host that has only just begun to listen, or that exits."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import socket
import subprocess
import time

from fescueshunt_standins.hosted import deployment

ADDRESSES = ("metrics_address", "readiness_address", "session_address")
# Each round starts one host for each address at once.
ROUNDS = int(os.environ.get("SIGNAL_ROUNDS", "1"))
LISTEN_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.0002
READY_TIMEOUT_S = 5.0
SIGNAL_INTERVAL_S = 0.0005
STOP_TIMEOUT_S = 8.0
LOG_CHARS = 2000
NS_PER_S = 1_000_000_000


def _signal_once_listening(
    platform_address: str, number: int, address_name: str, number_sent: int
) -> tuple[str, int | None, str]:
    """Starts a host and sends a signal as soon as an address answers.

    Returns:
      The name of the address, the exit code, and the end of the host's log. A
      host that only gets SIGHUP has the exit code None if it becomes ready.
    """
    starting = deployment.starting_host(platform_address, number)
    with starting as host:
        _wait_for_listener(host, getattr(host, address_name))
        host.popen.send_signal(number_sent)
        if number_sent == signal.SIGTERM:
            _wait_for_end(host)
        else:
            _wait_until_ready_or_ended(host)
        code = host.popen.poll()
        return address_name, code, host.log_path.read_text()[-300:]


def _wait_for_listener(
    host_process: deployment.HostProcess, address: str
) -> None:
    host, _, port = address.rpartition(":")
    deadline = time.monotonic() + LISTEN_TIMEOUT_S
    while time.monotonic() < deadline:
        with socket.socket() as sock:
            if sock.connect_ex((host, int(port))) == 0:
                return
        time.sleep(POLL_INTERVAL_S)
    state = _describe(host_process)
    raise AssertionError(f"nothing listens at {address}: {state}")


def _wait_for_end(host: deployment.HostProcess) -> None:
    try:
        host.popen.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        raise AssertionError(f"not ended: {_describe(host)}") from None


def _describe(host: deployment.HostProcess) -> str:
    """Returns what tells a starved process from one that is stuck or dead."""
    log_end = host.log_path.read_text()[-LOG_CHARS:]
    code = host.popen.poll()
    if code is not None:
        return f"exit code {code}; log: {log_end}"
    path = pathlib.Path(f"/proc/{host.popen.pid}/schedstat")
    ran_ns, waited_ns, _ = map(int, path.read_text().split())
    return (
        f"ran for {ran_ns / NS_PER_S:.2f} s, waited for a processor for "
        f"{waited_ns / NS_PER_S:.2f} s; log: {log_end}"
    )


def _wait_until_ready_or_ended(host: deployment.HostProcess) -> None:
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline and host.popen.poll() is None:
        if asyncio.run(deployment.is_ready(host)):
            return
        time.sleep(0.05)
    assert host.popen.poll() is not None, "neither ready nor ended"


async def _signal_hosts(number_sent: int) -> list[tuple[str, int | None, str]]:
    """Signals several starting hosts at once; returns their ends."""
    names = ADDRESSES * ROUNDS
    async with deployment.running(1) as deployed:
        return await asyncio.gather(
            *(
                asyncio.to_thread(
                    _signal_once_listening,
                    deployed.platform_address,
                    number + 1,
                    name,
                    number_sent,
                )
                for number, name in enumerate(names)
            )
        )


# Failure: SIGHUP ends a host that has just begun to listen.
def test_starting_host_survives_sighup():
    ends = asyncio.run(_signal_hosts(signal.SIGHUP))
    assert [end for end in ends if end[1] is not None] == []


# Failure: SIGTERM ends a host that has just begun to listen without a graceful
# stop, so that the sessions that it has accepted are cut.
def test_starting_host_stops_gracefully_on_sigterm():
    ends = asyncio.run(_signal_hosts(signal.SIGTERM))
    assert [end for end in ends if end[1] != 0] == []


def _signal_until_ended(host: deployment.HostProcess, number_sent: int) -> int:
    """Stops a host, sends a signal until it ends; returns its exit code."""
    host.popen.send_signal(signal.SIGTERM)
    deadline = time.monotonic() + STOP_TIMEOUT_S
    while host.popen.poll() is None:
        assert time.monotonic() < deadline, "the host has not ended"
        host.popen.send_signal(number_sent)
        time.sleep(SIGNAL_INTERVAL_S)
    return host.popen.poll()


async def _signal_ending_hosts() -> list[int]:
    numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    async with deployment.running(len(numbers)) as deployed:
        return await asyncio.gather(
            *(
                asyncio.to_thread(_signal_until_ended, host, number_sent)
                for host, number_sent in zip(
                    deployed.hosts, numbers, strict=True
                )
            )
        )


# Failure: a signal that arrives while a stopped host exits kills it, so that a
# graceful stop looks like a crash.
def test_signals_during_the_exit_do_not_kill_a_stopped_host():
    assert asyncio.run(_signal_ending_hosts()) == [0, 0, 0]
