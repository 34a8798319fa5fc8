"""Entries and keys that another writer left among those of this system."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import random

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from fescueshunt import errors
from fescueshunt.core import (
    filters,
    leadership,
    position,
    replica_sets,
    store_items,
)
from fescueshunt.replicas import pipe
from fescueshunt_proxy._internal import runtime
from fescueshunt_proxy._internal.hosted import measures, ports, store_client
from fescueshunt_proxy.platform import documents, lines, store, store_messages
from fescueshunt_wire import http
from lib import hosted_routes

DATABASE = hosted_routes.DATABASE
ENTRY = {
    "service": DATABASE,
    "address": "10.1.0.9:8080",
    "zone": "z1",
    "slots": 2,
    "state": "ready",
    "db_role": "replica",
    "born": 1772280060553,
}
LONG_NUMBER = "9" * 5000
NESTED = "[" * 100_000
WAIT_S = 5.0
ODD_ADDRESSES = (
    "10.1.0.9:0",
    "10.1.0.9:65536",
    "10.1.0.9:99999",
    "10.1.0.9:-1",
    "10.1.0.9:80\n",
    "10.1.0.9:080",
    "999.1.1.1:80",
    "....:80",
    "1.2.3:80",
    "1.2.3.4.5:80",
    "0.0.0.0:80",
    "255.255.255.255:80",
    "10.1.0.9:\u0661\u0662",
)
ODD_FIELDS = (
    *({"address": address} for address in ODD_ADDRESSES),
    {"slots": 0},
    {"slots": 10**18},
    {"slots": 2**70},
    {"zone": "\0"},
    {"zone": "a b"},
    {"service": f"{DATABASE}\r\n"},
)
# JSON texts that take the place of the number of slots.
ODD_NUMBERS = ("1e400", LONG_NUMBER, "-1", "NaN", NESTED, '"\udcff"')
ODD_IDS = ("", "a b", "a\r\nQUERY - PAUSE 9", "\0")
GOOD_IDS = ("u0", "u1", "u2")


def _entry_bytes(number: int = 9, **fields: object) -> bytes:
    address = {"address": f"10.1.0.{number}:8080"}
    return json.dumps(ENTRY | address | fields).encode()


def _item(key: str, data: bytes, revision: int = 5) -> store_messages.Item:
    value = base64.b64encode(data).decode()
    return store_messages.Item(key=key, value=value, revision=revision)


def _with_slots(text: str) -> bytes:
    placeholder = b'"slots": 2'
    slots = text.encode(errors="surrogateescape")
    return _entry_bytes().replace(placeholder, b'"slots": ' + slots)


# Failure: an entry that can't be an upstream's counts as a member that a
# failover has to fence, so that no primary of its database can be replaced.
@pytest.mark.parametrize("fields", ODD_FIELDS, ids=repr)
def test_entry_that_names_no_upstream_is_unusable(fields):
    change = documents.decode_change(
        _item("servers/i-1", _entry_bytes(**fields)), 1.0
    )
    assert change == ports.EntryChange("i-1", None, change.problem)
    assert change.problem


@pytest.mark.parametrize("text", ODD_NUMBERS, ids=lambda text: text[:8])
def test_entry_with_an_odd_number_is_unusable(text):
    change = documents.decode_change(
        _item("servers/i-1", _with_slots(text)), 1.0
    )
    assert change == ports.EntryChange("i-1", None, change.problem)
    assert change.problem


# Failure: the id of an entry is sent to the upstream as more than one line.
@pytest.mark.parametrize("upstream", ODD_IDS, ids=repr)
def test_entry_under_an_odd_key_is_unusable(upstream):
    change = documents.decode_change(
        _item(f"servers/{upstream}", _entry_bytes()), 1.0
    )
    assert change == ports.EntryChange(upstream, None, change.problem)
    assert change.problem


# Failure: a number far out of range in the operator's document, which the store
# accepts, keeps the rest of the document from being followed.
def test_huge_numbers_of_the_operators_document_are_bounded():
    route = {
        "db_name": "r1",
        "service": DATABASE,
        "route_type": "bounded_staleness",
        "timeout_ms": 1e308,
        "target_latency_ms": 1e308,
        "priority": 2**70,
        "max_staleness_ms": 1e308,
    }
    service = {"name": DATABASE, "max_conns": 10**18, "sync_replicas": 10**18}
    document = {
        "version": 7,
        "routes": [route],
        "services": [service],
        "limits": {"tx_idle_ms": 1e308},
    }
    view = documents.decode_routes(json.dumps(document).encode(), 1.0)
    day_s = documents.MAX_TIMEOUT_MS / documents.MS_PER_S
    decoded = view.routes["r1"]
    assert decoded.timeout_s == decoded.target_s == decoded.max_age_s == day_s
    assert decoded.priority == documents.MAX_PRIORITY
    policy = view.databases[DATABASE]
    assert policy.max_connections == documents.MAX_CONNECTIONS


def _raw_items(*odd: bytes) -> list[bytes]:
    """Returns the items of the good entries with odd items between them."""
    good = [
        json.dumps(
            {
                "key": f"servers/{upstream}",
                "value": base64.b64encode(_entry_bytes(number)).decode(),
                "revision": 5,
            }
        ).encode()
        for number, upstream in enumerate(GOOD_IDS)
    ]
    return [good[0], *odd, *good[1:]]


def _page(field: str, *odd: bytes) -> bytes:
    items = b",".join(_raw_items(*odd))
    return b'{"' + field.encode() + b'":[' + items + b'],"as_of":9}'


ODD_ITEMS = {
    "key of invalid UTF-8": b'{"key":"servers/\xff","revision":5}',
    "key of half a pair": rb'{"key":"servers/\ud800","revision":5}',
    "key that is a number": b'{"key":7,"revision":5}',
    "no value": b'{"key":"servers/x","value":null,"revision":5}',
    "long revision": b'{"key":"servers/x","revision":'
    + LONG_NUMBER.encode()
    + b"}",
    "list": b"[[],{}]",
}


# Failure: one odd item makes a whole page, or a whole answer to a watch,
# unreadable, and the host follows the store no more.
@pytest.mark.parametrize("odd", ODD_ITEMS.values(), ids=ODD_ITEMS.keys())
@pytest.mark.parametrize(
    ("model", "field"),
    [
        (store_messages.ItemPage, "items"),
        (store_messages.WatchResponse, "events"),
    ],
)
def test_odd_item_is_left_out_alone(model, field, odd):
    listed, skipped = store_messages.decode_item_list(model, _page(field, odd))
    keys = [item.key for item in getattr(listed, field)]
    assert keys == [f"servers/{upstream}" for upstream in GOOD_IDS]
    assert (skipped, listed.as_of) == (1, 9)


class _Members(filters.Filter):
    """Records the members of each view of the database."""

    def __init__(self) -> None:
        self.names: list[set[str]] = []

    def process(self, item):
        self.names.append({member.upstream for member in item.members})
        yield from ()


def _follow(monkeypatch, first_page: bytes, *watches: bytes) -> list[set[str]]:
    """Returns the members that a host lists as it follows a store's answers."""
    answers = [first_page, *watches]
    members = _Members()
    is_over = asyncio.Event()

    async def answer(*_: object) -> http.Response:
        if not answers:
            is_over.set()
            await asyncio.Event().wait()
        return http.Response(store.OK, answers.pop(0))

    async def run() -> None:
        monkeypatch.setattr(http.Client, "call", answer)
        core = filters.Core(
            (
                pipe.build(random.Random(1)),
                filters.Pipe((members,), (replica_sets.ReplicaSetView,)),
            )
        )
        core_runtime = runtime.Runtime(core)
        core_runtime.feed(hosted_routes.routes_view(0.0))
        client = http.Client("10.0.0.1:1")
        watcher = store_client.StoreWatcher(
            core_runtime,
            store.HttpStore(client, client, core_runtime.now),
            measures.HostMetrics(core_runtime),
        )
        task = asyncio.create_task(watcher.run())
        async with asyncio.timeout(WAIT_S):
            await is_over.wait()
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    asyncio.run(run())
    return members.names


def _raw_entry(upstream: str, data: bytes) -> bytes:
    value = base64.b64encode(data).decode()
    item = {"key": f"servers/{upstream}", "value": value, "revision": 6}
    return json.dumps(item).encode()


# Failure: an odd entry counts as a member, or hides the others, or isn't taken
# up again once it is mended.
def test_odd_entry_is_left_out_until_it_is_mended(monkeypatch):
    odd = [
        _raw_entry("odd", _entry_bytes(8, address="10.1.0.8:0")),
        _raw_entry("deep", b'{"x":' + NESTED.encode()),
        *ODD_ITEMS.values(),
    ]
    mended = _raw_entry("odd", _entry_bytes(8))
    members = _follow(
        monkeypatch,
        _page("items", *odd),
        b'{"events":[' + b",".join((odd[0], odd[3], mended)) + b'],"as_of":10}',
    )
    good = set(GOOD_IDS)
    assert [names for names in members if names > good] == [{*good, "odd"}]
    assert good in members
    assert members[-1] == {*good, "odd"}


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text()
    | st.sampled_from(ODD_ADDRESSES),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.text(), children, max_size=3)
    ),
    max_leaves=8,
)
FIELDS = st.sampled_from((*ENTRY, "version", "x"))


@seed(1)
@settings(max_examples=300, deadline=None, database=None)
@given(st.dictionaries(FIELDS, JSON_VALUES, max_size=4), st.text(max_size=8))
def test_any_entry_is_an_upstream_or_unusable(fields, upstream):
    data = json.dumps(ENTRY | fields).encode()
    change = documents.decode_change(_item(f"servers/{upstream}", data), 1.0)
    if change.entry is None:
        assert change.problem
        return
    address, _, port = change.entry.address.rpartition(":")
    assert 0 < int(port) < 65536
    assert all(0 <= int(part) < 256 for part in address.split("."))
    assert 0 < change.entry.slots <= documents.MAX_CONNECTIONS
    words = (change.entry.upstream, change.entry.database, change.entry.zone)
    assert all(len(word.split()) == 1 for word in words)


@seed(1)
@settings(max_examples=300, deadline=None, database=None)
@given(st.binary() | JSON_VALUES.map(lambda value: json.dumps(value).encode()))
def test_any_bytes_of_the_store_are_decoded_or_unreadable(data):
    keys = (
        documents.ROUTES_KEY,
        "servers/i-1",
        leadership.record_key(DATABASE),
        store_items.DUTY_KEY,
    )
    for key in keys:
        change = documents.decode_change(_item(key, data), 1.0)
        if isinstance(change, ports.KeyChange):
            leadership.parse_database_record(key, change.stored)
    for model in (store_messages.ItemPage, store_messages.WatchResponse):
        with contextlib.suppress(errors.DocumentUnreadableError):
            store_messages.decode_item_list(model, data)


@seed(1)
@settings(max_examples=200, deadline=None, database=None)
@given(st.lists(JSON_VALUES, max_size=4))
def test_any_items_beside_good_ones_leave_those_readable(values):
    odd = [json.dumps(value).encode() for value in values]
    listed, skipped = store_messages.decode_item_list(
        store_messages.ItemPage, _page("items", *odd)
    )
    keys = {item.key for item in listed.items}
    assert keys >= {f"servers/{upstream}" for upstream in GOOD_IDS}
    assert skipped + len(listed.items) == len(odd) + len(GOOD_IDS)


WORDS = st.sampled_from(
    (
        "READY",
        "ROW",
        "COMPLETE",
        "ERROR",
        "I",
        "T",
        "primary",
        "replica",
        "0",
        "3.7",
        "3.",
        "-1",
        "\xb2",
        LONG_NUMBER,
        f"1.{LONG_NUMBER}",
        "",
    )
)
LINES = st.lists(WORDS, max_size=9).map(" ".join)


# Failure: a number of some thousand digits in an upstream's answer, also in the
# data of a client, raises an error that the connection doesn't expect.
@seed(1)
@settings(max_examples=500, deadline=None, database=None)
@given(st.lists(LINES, max_size=6))
def test_any_lines_of_an_upstream_are_a_reply_or_a_frame_error(texts):
    decoder = lines.ReplyDecoder()
    with contextlib.suppress(errors.FrameError):
        for text in texts:
            decoder.feed(text)


def test_row_that_only_looks_like_a_status_is_a_row():
    decoder = lines.ReplyDecoder()
    row = f"primary {LONG_NUMBER} 3.7 0 1 2 3"
    assert decoder.feed(f"ROW {row}") is None
    reply = decoder.feed("READY I 3.7")
    assert reply.rows == (row,)
    assert reply.status is None
    assert reply.applied == position.Position(position.Term(3), 7)
