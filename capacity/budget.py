"""What each role needs at the target size, line by line from the slopes."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from capacity import figures, target
from fescueshunt.health import poller
from fescueshunt.members import listed, probe
from fescueshunt.settings import spread, watch
from fescueshunt_proxy._internal import peers

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

PING_MESSAGES_PER_PERIOD = 4
FRAME_BYTES = 12
MS = 1e3
US = 1e6
KB = 1e3
MB = 1e6
PERCENT = 100
MESSAGES_PER_S = (
    PING_MESSAGES_PER_PERIOD / 2 / probe.PERIOD_S
    + spread.FANOUT / spread.PERIOD_S
)
_SHARES = (("read", 1 - target.WRITE_SHARE), ("write", target.WRITE_SHARE))


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One budget: what is needed, how it was worked out, what is allowed.

    `allowed` is None where the letter sets no bound.
    """

    role: str
    what: str
    sum: str
    needed: float
    unit: str
    allowed: float | None
    mechanism: str

    @property
    def verdict(self) -> str:
        """Whether the budget is met."""
        if self.allowed is None:
            return "no bound"
        return "met" if self.needed <= self.allowed else "short"


def work_out(measured: figures.Measured) -> Iterator[Line]:
    """Yields every line, role by role."""
    for part in _PARTS:
        yield from part(measured)


def _entry(m: figures.Measured) -> Iterator[Line]:
    held = target.CONNECTIONS_PER_NODE
    each_kb = m.slope("connections", "memory")
    yield Line(
        "entry",
        "memory of callers' connections",
        f"{held:.0f} x {each_kb:.1f} KB",
        held * each_kb / KB,
        "MB",
        None,
        "`fescueshunt_wire.transport`",
    )
    each_ms = m.slope("connections", "processor time a second")
    yield Line(
        "entry",
        "idle callers' connections (websocket pings)",
        f"{held:.0f} x {each_ms:.3f} ms/s",
        held * each_ms / MS,
        "cores",
        1.0,
        "`fescueshunt_wire.transport`",
    )
    yield from _statements(m, "entry")
    each_us = m.at("members", "homes, a routed statement", target.NODES)
    yield Line(
        "entry",
        "finding the home of each statement",
        f"{target.STATEMENTS_PER_NODE:.0f}/s x {each_us:.0f} us",
        target.STATEMENTS_PER_NODE * each_us / US,
        "cores",
        1.0,
        "`fescueshunt.core.homes`",
    )


def _home(m: figures.Measured) -> Iterator[Line]:
    yield from _statements(m, "home")


def _statements(m: figures.Measured, role: str) -> Iterator[Line]:
    for service, share in _SHARES:
        quantity = f"process, {role}, {service}, processor time a second"
        each_us = m.slope(f"{service}s", quantity)
        rate = target.STATEMENTS_PER_NODE * share
        yield Line(
            role,
            f"{service}s, {share * PERCENT:.0f}% of the statements",
            f"{rate:.0f}/s x {each_us:.0f} us",
            rate * each_us / US,
            "cores",
            1.0,
            "`fescueshunt.request`, `fescueshunt_wire.codec`",
        )


def _watcher(m: figures.Measured) -> Iterator[Line]:
    count = target.WATCHED_PER_NODE
    each_ms = m.slope("hosted", "processor time a second")
    yield _core_share(
        "watcher",
        "polls of idle databases",
        f"{count:.2f} x {each_ms:.2f} ms/s",
        count * each_ms / MS,
        "`fescueshunt.health.poller`",
    )
    each_kb = m.slope("hosted", "memory")
    yield Line(
        "watcher",
        "memory of watched databases",
        f"{count:.2f} x {each_kb:.0f} KB",
        count * each_kb / KB,
        "MB",
        target.CONTROL_MEMORY_MB,
        "`fescueshunt.health.poller`",
    )
    polls = count * target.UPSTREAMS_PER_DATABASE / poller.POLL_WAIT_S
    size = 2 * FRAME_BYTES
    for message in ("read status", "status"):
        size += m.least("messages", f"{message}, bytes")
    yield _bytes(
        "watcher",
        "polls of idle databases",
        f"{polls:.0f}/s x {size:.0f} B",
        polls * size,
        "`fescueshunt.health.poller`",
    )


def _member(m: figures.Measured) -> Iterator[Line]:
    sent = PING_MESSAGES_PER_PERIOD / probe.PERIOD_S
    size = FRAME_BYTES + m.least("messages", "ping with 6 rumors, bytes")
    yield _bytes(
        "member",
        "pings and acks, each with 6 rumors",
        f"{sent:.0f}/s x {size:.0f} B",
        sent * size,
        "`fescueshunt.members.probe`, `.spread`",
    )
    base_kb = m.find("proxies", "one process, memory").base
    yield Line(
        "member",
        "an idle process, memory",
        f"{base_kb / KB:.1f} MB, links apart",
        base_kb / KB,
        "MB",
        target.CONTROL_MEMORY_MB,
        "the interpreter and the libraries",
    )
    used_ms = m.find("proxies", "one process, processor time a second").base
    yield _core_share(
        "member",
        "an idle process: ticks, pings, digests",
        f"{used_ms:.1f} ms/s, links apart",
        used_ms / MS,
        "`fescueshunt_proxy._internal.clock`",
    )
    yield from _links(m)
    yield from _fleet(m)
    yield from _list(m)


def _links(m: figures.Measured) -> Iterator[Line]:
    others = min(
        target.NODES - 1, int(MESSAGES_PER_S * peers.LINK_IDLE_TIMEOUT_S)
    )
    each_kb = m.slope("proxies", "one process, memory")
    yield Line(
        "member",
        "links that heartbeats and digests keep open, memory",
        f"{others} x {each_kb:.1f} KB",
        others * each_kb / KB,
        "MB",
        target.CONTROL_MEMORY_MB,
        "`fescueshunt_proxy._internal.peers`",
    )
    quantity = "one process, processor time a second"
    each_ms = m.slope("proxies", quantity)
    yield _core_share(
        "member",
        "links that heartbeats and digests keep open, pings",
        f"{others} x {each_ms:.3f} ms/s",
        others * each_ms / MS,
        "`fescueshunt_proxy._internal.peers`",
    )


def _fleet(m: figures.Measured) -> Iterator[Line]:
    rate = target.FLEET_CHANGES_PER_S
    quantity = "core, a fleet change, no database"
    change_s = m.at("members", quantity, target.NODES) / US
    yield _core_share(
        "member",
        "fleet changes: table, digest, view",
        f"{rate:.3f}/s x {change_s * MS:.1f} ms",
        rate * change_s,
        "`fescueshunt.members.table`, `.spread`",
    )
    quantity = "homes, a fleet change, for each database"
    each_ms = m.at("members", quantity, target.NODES)
    yield _core_share(
        "member",
        "fleet changes: which databases are watched here",
        f"{rate:.3f}/s x {target.DATABASES} x {each_ms:.2f} ms",
        rate * target.DATABASES * each_ms / MS,
        "`fescueshunt.core.homes.watched_databases`",
    )
    quantity = "core, joining, for each member"
    each_us = m.at("members", quantity, target.NODES)
    yield Line(
        "member",
        "joining: the loop is busy for",
        f"{target.NODES} x {each_us:.0f} us",
        target.NODES * each_us / US,
        "s",
        1.0,
        "`fescueshunt.members.table`, `.spread`",
    )


def _list(m: figures.Measured) -> Iterator[Line]:
    size = m.at("host-list", "host list, bytes", target.NODES)
    yield _bytes(
        "member",
        "reads of the host list",
        f"{size / KB:.0f} KB each {listed.READ_INTERVAL_S:.0f} s",
        size / listed.READ_INTERVAL_S,
        "`fescueshunt.members.listed`",
    )
    spent_us = m.at("host-list", "host list, decode", target.NODES)
    yield _core_share(
        "member",
        "reads of the host list",
        f"{spent_us / MS:.0f} ms each {listed.READ_INTERVAL_S:.0f} s",
        spent_us / US / listed.READ_INTERVAL_S,
        "`fescueshunt.members.listed`",
    )
    yield Line(
        "member",
        "reads of the host list, all nodes",
        f"{target.NODES} / {listed.READ_INTERVAL_S:.0f} s",
        target.NODES / listed.READ_INTERVAL_S,
        "calls/s",
        target.STORE_READS_PER_S,
        "`fescueshunt.members.listed`",
    )


def _settings(m: figures.Measured) -> Iterator[Line]:
    count = target.DATABASES
    each_b = m.slope("document", "document, bytes")
    size = count * each_b
    yield Line(
        "settings",
        "the document in the store",
        f"{count} x {each_b:.0f} B",
        size / MB,
        "MB",
        target.STORE_VALUE_BYTES / MB,
        "`fescueshunt_proxy._internal.wire_platform`",
    )
    rate = target.REVISIONS_PER_S
    yield _bytes(
        "settings",
        "revisions, each as a whole document",
        f"{rate:.2f}/s x {size / MB:.2f} MB",
        rate * size,
        "`fescueshunt.settings.spread`",
    )
    yield Line(
        "settings",
        "passing one document on",
        f"{size / MB:.2f} MB / {spread.OFFER_BYTES_PER_S / KB:.0f} KB/s",
        size / spread.OFFER_BYTES_PER_S,
        "s",
        target.SETTINGS_IN_FORCE_S,
        "`fescueshunt.settings.spread`",
    )
    each_us = m.slope("document", "document, decode") * MS
    yield _core_share(
        "settings",
        "decoding revisions",
        f"{rate:.2f}/s x {count} x {each_us:.0f} us",
        rate * count * each_us / US,
        "`fescueshunt_wire.codec`",
    )
    each_kb = m.slope("document", "document, memory")
    yield Line(
        "settings",
        "memory of the document, old and new",
        f"2 x {count} x {each_kb:.2f} KB",
        2 * count * each_kb / KB,
        "MB",
        target.CONTROL_MEMORY_MB,
        "`fescueshunt.core.document`",
    )
    watchers = watch.WATCHERS_PER_ZONE * target.ZONES
    calls = watchers * (rate + 1 / watch.WATCH_TIMEOUT_S)
    yield Line(
        "settings",
        "watches of the store, all zones",
        f"{watchers} x ({rate:.2f} + 1/{watch.WATCH_TIMEOUT_S:.0f} s)",
        calls,
        "calls/s",
        target.STORE_READS_PER_S,
        "`fescueshunt.settings.watch`",
    )
    yield Line(
        "settings",
        "changes in the store",
        f"{target.SETTINGS_CHANGES_PER_DAY} a day",
        rate,
        "calls/s",
        target.STORE_WRITES_PER_S,
        "`fescueshunt_proxy._internal.stores`",
    )


def _core_share(
    role: str, what: str, arithmetic: str, cores: float, mechanism: str
) -> Line:
    return Line(
        role,
        what,
        arithmetic,
        cores * PERCENT,
        "% of a core",
        target.CONTROL_CORE_SHARE * PERCENT,
        mechanism,
    )


def _bytes(
    role: str, what: str, arithmetic: str, needed: float, mechanism: str
) -> Line:
    return Line(
        role,
        what,
        arithmetic,
        needed / KB,
        "KB/s",
        target.CONTROL_BYTES_PER_S / KB,
        mechanism,
    )


_PARTS: tuple[Callable[[figures.Measured], Iterator[Line]], ...] = (
    _entry,
    _home,
    _watcher,
    _member,
    _settings,
)
