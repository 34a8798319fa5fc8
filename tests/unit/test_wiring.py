"""Tests that each item reaches those that need it, in the real pipes."""

from __future__ import annotations

import importlib
import subprocess
import sys
from unittest import mock

import pytest

import fescueshunt_proxy._internal
import fescueshunt_proxy.platform
from fescueshunt import (
    errors,
    hosted,
    hosted_border,
    proxy,
    proxy_border,
)
from fescueshunt.core import (
    filters,
    identity,
    process,
    routes,
    store_items,
    views,
    wiring,
)
from lib import item_makers

HOST = identity.Identity("h0", "z", "127.0.0.1:1", 1)
# Made by the border within another item, which the pipe takes apart.
RELAYED = {("routing", routes.RoutesView)}
# The runtime makes it, and nothing in the core takes it.
REPORTED = {process.ItemFailed}


def _pipes_of(build) -> dict[str, filters.Pipe]:
    """Returns the pipes that a composition root checks, by their names."""
    with mock.patch.object(wiring, "check") as check:
        build()
    return dict(check.call_args.args[0])


def _build_host() -> filters.Core:
    return hosted.build(HOST, 6.0)


def _build_proxy() -> filters.Core:
    return proxy.build(HOST, mock.MagicMock())


BUILDS = {
    "host": (_build_host, hosted_border.BORDER),
    "proxy": (_build_proxy, proxy_border.BORDER),
}
PIPES = {
    name: pipe
    for build, _ in BUILDS.values()
    for name, pipe in _pipes_of(build).items()
}
EMISSIONS = [
    pytest.param(name, item_type, id=f"{name}-{item_type.__name__}")
    for name, pipe in PIPES.items()
    for item_type in sorted(pipe.emits, key=str)
]


def _folder(name: str):
    return importlib.import_module(f"fescueshunt.{name}")


def _makers(name: str, item_type: type[filters.Item]) -> list[int]:
    """Returns the places of the filters that make an item."""
    return [
        place
        for place, stage in enumerate(PIPES[name].filters)
        if item_type
        in item_makers.made_in(importlib.import_module(type(stage).__module__))
    ]


def _filters_behind(
    name: str, item_type: type[filters.Item]
) -> tuple[filters.Filter, ...]:
    """Returns the filters that must pass an item on.

    These are all filters behind the first one that makes it. If the pipe itself
    accepts the item, a filter behind that may be the one that it is for; those
    behind the last maker only see it after it was fed to the pipe again.
    """
    pipe = PIPES[name]
    makers = _makers(name, item_type)
    if item_type in pipe.accepts:
        return pipe.filters[max(makers, default=len(pipe.filters)) + 1 :]
    return pipe.filters[min(makers, default=0) + 1 :]


# Failure: a filter kept an item that another pipe needs (accounts with a quota
# were refused, as the quota pipe never saw who holds the duty).
@pytest.mark.parametrize(("name", "item_type"), EMISSIONS)
def test_no_filter_keeps_what_its_pipe_emits(
    name: str, item_type: type[filters.Item]
):
    behind = filters.Pipe(_filters_behind(name, item_type), ())
    emitted = item_makers.sample(item_type)
    assert emitted in list(behind.feed(emitted))


@pytest.mark.parametrize(("name", "item_type"), EMISSIONS)
def test_pipe_makes_what_it_emits(name: str, item_type: type[filters.Item]):
    made = {
        made_type
        for module in item_makers.modules_of(_folder(name))
        for made_type in item_makers.made_in(module)
    }
    assert item_type in made or (name, item_type) in RELAYED


# Failure: an item that a pipe or the border relies on was emitted by nothing.
@pytest.mark.parametrize("front", BUILDS)
def test_missing_connection_is_found_when_a_process_is_put_together(
    front: str,
):
    build, border = BUILDS[front]
    pipes = _pipes_of(build)
    emitters: dict[type[filters.Item], list[str]] = {}
    for name, pipe in pipes.items():
        for item_type in pipe.emits:
            emitters.setdefault(item_type, []).append(name)
    for item_type, (name, *others) in emitters.items():
        if others or item_type in border.sources:
            continue
        pipe = pipes[name]
        without = filters.Pipe(
            pipe.filters, pipe.accepts, pipe.emits - {item_type}
        )
        with pytest.raises(errors.WiringError, match=item_type.__name__):
            wiring.check(pipes | {name: without}, border)


def test_wiring_error_tells_which_pipe_lacks_which_item():
    taker = filters.Pipe((), (store_items.DutyView,))
    border = wiring.Border(frozenset(), frozenset((views.FleetView,)))
    with pytest.raises(errors.WiringError) as caught:
        wiring.check({"quota": taker}, border)
    assert caught.value.detail == (
        "quota accepts DutyView, which nothing emits; "
        "the border takes FleetView, which nothing emits"
    )


def test_item_that_nothing_takes_is_found():
    emitter = filters.Pipe((), (), (store_items.DutyView,))
    border = wiring.Border(frozenset((filters.Tick,)), frozenset())
    with pytest.raises(errors.WiringError) as caught:
        wiring.check({"takeover": emitter}, border)
    assert caught.value.detail == (
        "takeover emits DutyView, which nothing accepts; "
        "the border feeds Tick, which nothing accepts"
    )


def _border_modules(front: str):
    """Returns the modules of the border of each kind of process."""
    modules = [
        *item_makers.modules_of(fescueshunt_proxy._internal),
        *item_makers.modules_of(fescueshunt_proxy.platform),
    ]
    of_host = ("hosted", "platform")
    shared = ("clock", "runtime")
    for module in modules:
        parts = module.__name__.split(".")[1:]
        is_host = any(part in of_host for part in parts[:-1])
        if parts[-1] in shared or is_host == (front == "host"):
            yield module


# Failure: the border fed or took other items than the core was told.
@pytest.mark.parametrize("front", BUILDS)
def test_border_feeds_and_takes_what_it_declares(front: str):
    border = BUILDS[front][1]
    made: set[type[filters.Item]] = set()
    taken: set[type[filters.Item]] = set()
    for module in _border_modules(front):
        made |= item_makers.made_in(module)
        taken |= item_makers.subscribed_in(module)
    assert border.sources <= made
    assert taken - REPORTED == border.sinks


# Failure: a host imported the items of proxies, so that its start took longer.
def test_host_imports_no_items_of_proxies():
    code = "import sys, fescueshunt.hosted; print(*sys.modules)"
    loaded = subprocess.check_output((sys.executable, "-c", code), text=True)
    assert "fescueshunt.core.session_items" in loaded.split()
    assert "fescueshunt.core.items" not in loaded.split()
