"""The resource budget of each role at target scale, from measured costs."""

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
FRAME_HEADER_BYTES = 12
# Decimal unit conversion: 1000 ms are 1 s, and 1000 KB are 1 MB.
MS = 1e3
US = 1e6
KB = 1e3
MB = 1e6
PERCENT = 100
SENT_MESSAGES_PER_S = (
    PING_MESSAGES_PER_PERIOD / 2 / probe.PERIOD_S
    + spread.FANOUT / spread.PERIOD_S
)
_SERVICE_SHARES = (
    ("read", 1 - target.WRITE_SHARE),
    ("write", target.WRITE_SHARE),
)


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetLine:
    """The demand of a role for one resource, compared with its limit.

    Attributes:
      role: the role of the proxy that needs the resource.
      resource: the resource and its use.
      calculation: the formula of the demand, with the numbers filled in.
      demand: the amount that is needed; in `unit`.
      unit: the unit of `demand` and `limit`.
      limit: the largest amount allowed, or None if there is no limit.
      component: the modules that cause the demand.
    """

    role: str
    resource: str
    calculation: str
    demand: float
    unit: str
    limit: float | None
    component: str

    @property
    def verdict(self) -> str:
        """The result of comparing the demand with the limit."""
        if self.limit is None:
            return "no bound"
        return "met" if self.demand <= self.limit else "short"


def compute_lines(costs: figures.MeasuredCosts) -> Iterator[BudgetLine]:
    """Yields all budget lines, grouped by role."""
    for generate_lines in _LINE_GENERATORS:
        yield from generate_lines(costs)


def _entry_lines(costs: figures.MeasuredCosts) -> Iterator[BudgetLine]:
    connection_count = target.CONNECTIONS_PER_NODE
    unit_kb = costs.marginal_cost("connections", "memory")
    yield BudgetLine(
        "entry",
        "memory of callers' connections",
        f"{connection_count:.0f} x {unit_kb:.1f} KB",
        connection_count * unit_kb / KB,
        "MB",
        None,
        "`fescueshunt_wire.transport`",
    )
    unit_ms = costs.marginal_cost("connections", "processor time a second")
    yield BudgetLine(
        "entry",
        "idle callers' connections (websocket pings)",
        f"{connection_count:.0f} x {unit_ms:.3f} ms/s",
        connection_count * unit_ms / MS,
        "cores",
        1.0,
        "`fescueshunt_wire.transport`",
    )
    yield from _statement_lines(costs, "entry")
    unit_us = costs.cost_at(
        "members", "homes, a routed statement", target.NODES
    )
    yield BudgetLine(
        "entry",
        "finding the home of each statement",
        f"{target.STATEMENTS_PER_NODE:.0f}/s x {unit_us:.0f} us",
        target.STATEMENTS_PER_NODE * unit_us / US,
        "cores",
        1.0,
        "`fescueshunt.core.homes`",
    )


def _home_lines(costs: figures.MeasuredCosts) -> Iterator[BudgetLine]:
    yield from _statement_lines(costs, "home")


def _statement_lines(
    costs: figures.MeasuredCosts, role: str
) -> Iterator[BudgetLine]:
    for service, share in _SERVICE_SHARES:
        quantity = f"process, {role}, {service}, processor time a second"
        unit_us = costs.marginal_cost(f"{service}s", quantity)
        rate = target.STATEMENTS_PER_NODE * share
        yield BudgetLine(
            role,
            f"{service}s, {share * PERCENT:.0f}% of the statements",
            f"{rate:.0f}/s x {unit_us:.0f} us",
            rate * unit_us / US,
            "cores",
            1.0,
            "`fescueshunt.request`, `fescueshunt_wire.codec`",
        )


def _watcher_lines(costs: figures.MeasuredCosts) -> Iterator[BudgetLine]:
    count = target.WATCHED_DATABASES_PER_NODE
    unit_ms = costs.marginal_cost("hosted", "processor time a second")
    yield _core_share_line(
        "watcher",
        "polls of idle databases",
        f"{count:.2f} x {unit_ms:.2f} ms/s",
        count * unit_ms / MS,
        "`fescueshunt.health.poller`",
    )
    unit_kb = costs.marginal_cost("hosted", "memory")
    yield BudgetLine(
        "watcher",
        "memory of watched databases",
        f"{count:.2f} x {unit_kb:.0f} KB",
        count * unit_kb / KB,
        "MB",
        target.MAX_CONTROL_MEMORY_MB,
        "`fescueshunt.health.poller`",
    )
    polls = count * target.UPSTREAMS_PER_DATABASE / poller.POLL_WAIT_S
    size = 2 * FRAME_HEADER_BYTES
    for message in ("read status", "status"):
        size += costs.cost_at_smallest_size("messages", f"{message}, bytes")
    yield _traffic_line(
        "watcher",
        "polls of idle databases",
        f"{polls:.0f}/s x {size:.0f} B",
        polls * size,
        "`fescueshunt.health.poller`",
    )


def _member_lines(costs: figures.MeasuredCosts) -> Iterator[BudgetLine]:
    message_rate = PING_MESSAGES_PER_PERIOD / probe.PERIOD_S
    size = FRAME_HEADER_BYTES + costs.cost_at_smallest_size(
        "messages", "ping with 6 rumors, bytes"
    )
    yield _traffic_line(
        "member",
        "pings and acks, each with 6 rumors",
        f"{message_rate:.0f}/s x {size:.0f} B",
        message_rate * size,
        "`fescueshunt.members.probe`, `.spread`",
    )
    idle_kb = costs.find_fit("proxies", "one process, memory").base
    yield BudgetLine(
        "member",
        "an idle process, memory",
        f"{idle_kb / KB:.1f} MB, links apart",
        idle_kb / KB,
        "MB",
        target.MAX_CONTROL_MEMORY_MB,
        "the interpreter and the libraries",
    )
    idle_ms = costs.find_fit(
        "proxies", "one process, processor time a second"
    ).base
    yield _core_share_line(
        "member",
        "an idle process: ticks, pings, digests",
        f"{idle_ms:.1f} ms/s, links apart",
        idle_ms / MS,
        "`fescueshunt_proxy._internal.clock`",
    )
    yield from _link_lines(costs)
    yield from _fleet_change_lines(costs)
    yield from _host_list_lines(costs)


def _link_lines(costs: figures.MeasuredCosts) -> Iterator[BudgetLine]:
    link_count = min(
        target.NODES - 1, int(SENT_MESSAGES_PER_S * peers.LINK_IDLE_TIMEOUT_S)
    )
    unit_kb = costs.marginal_cost("proxies", "one process, memory")
    yield BudgetLine(
        "member",
        "links that heartbeats and digests keep open, memory",
        f"{link_count} x {unit_kb:.1f} KB",
        link_count * unit_kb / KB,
        "MB",
        target.MAX_CONTROL_MEMORY_MB,
        "`fescueshunt_proxy._internal.peers`",
    )
    quantity = "one process, processor time a second"
    unit_ms = costs.marginal_cost("proxies", quantity)
    yield _core_share_line(
        "member",
        "links that heartbeats and digests keep open, pings",
        f"{link_count} x {unit_ms:.3f} ms/s",
        link_count * unit_ms / MS,
        "`fescueshunt_proxy._internal.peers`",
    )


def _fleet_change_lines(
    costs: figures.MeasuredCosts,
) -> Iterator[BudgetLine]:
    rate = target.FLEET_CHANGES_PER_S
    quantity = "core, a fleet change, no database"
    update_s = costs.cost_at("members", quantity, target.NODES) / US
    yield _core_share_line(
        "member",
        "fleet changes: table, digest, view",
        f"{rate:.3f}/s x {update_s * MS:.1f} ms",
        rate * update_s,
        "`fescueshunt.members.table`, `.spread`",
    )
    quantity = "homes, a fleet change, for each database"
    unit_ms = costs.cost_at("members", quantity, target.NODES)
    yield _core_share_line(
        "member",
        "fleet changes: which databases are watched here",
        f"{rate:.3f}/s x {target.DATABASES} x {unit_ms:.2f} ms",
        rate * target.DATABASES * unit_ms / MS,
        "`fescueshunt.core.homes.watched_databases`",
    )
    quantity = "core, joining, for each member"
    unit_us = costs.cost_at("members", quantity, target.NODES)
    yield BudgetLine(
        "member",
        "joining: the loop is busy for",
        f"{target.NODES} x {unit_us:.0f} us",
        target.NODES * unit_us / US,
        "s",
        1.0,
        "`fescueshunt.members.table`, `.spread`",
    )


def _host_list_lines(
    costs: figures.MeasuredCosts,
) -> Iterator[BudgetLine]:
    size = costs.cost_at("host-list", "host list, bytes", target.NODES)
    yield _traffic_line(
        "member",
        "reads of the host list",
        f"{size / KB:.0f} KB each {listed.READ_INTERVAL_S:.0f} s",
        size / listed.READ_INTERVAL_S,
        "`fescueshunt.members.listed`",
    )
    decode_us = costs.cost_at("host-list", "host list, decode", target.NODES)
    yield _core_share_line(
        "member",
        "reads of the host list",
        f"{decode_us / MS:.0f} ms each {listed.READ_INTERVAL_S:.0f} s",
        decode_us / US / listed.READ_INTERVAL_S,
        "`fescueshunt.members.listed`",
    )
    yield BudgetLine(
        "member",
        "reads of the host list, all nodes",
        f"{target.NODES} / {listed.READ_INTERVAL_S:.0f} s",
        target.NODES / listed.READ_INTERVAL_S,
        "calls/s",
        target.MAX_STORE_READS_PER_S,
        "`fescueshunt.members.listed`",
    )


def _settings_lines(
    costs: figures.MeasuredCosts,
) -> Iterator[BudgetLine]:
    count = target.DATABASES
    unit_bytes = costs.marginal_cost("document", "document, bytes")
    size = count * unit_bytes
    yield BudgetLine(
        "settings",
        "the document in the store",
        f"{count} x {unit_bytes:.0f} B",
        size / MB,
        "MB",
        target.MAX_STORE_VALUE_BYTES / MB,
        "`fescueshunt_proxy._internal.wire_platform`",
    )
    rate = target.REVISIONS_PER_S
    yield _traffic_line(
        "settings",
        "revisions, each as a whole document",
        f"{rate:.2f}/s x {size / MB:.2f} MB",
        rate * size,
        "`fescueshunt.settings.spread`",
    )
    yield BudgetLine(
        "settings",
        "passing one document on",
        f"{size / MB:.2f} MB / {spread.OFFER_BYTES_PER_S / KB:.0f} KB/s",
        size / spread.OFFER_BYTES_PER_S,
        "s",
        target.SETTINGS_PROPAGATION_LIMIT_S,
        "`fescueshunt.settings.spread`",
    )
    unit_us = costs.marginal_cost("document", "document, decode") * MS
    yield _core_share_line(
        "settings",
        "decoding revisions",
        f"{rate:.2f}/s x {count} x {unit_us:.0f} us",
        rate * count * unit_us / US,
        "`fescueshunt_wire.codec`",
    )
    unit_kb = costs.marginal_cost("document", "document, memory")
    yield BudgetLine(
        "settings",
        "memory of the document, old and new",
        f"2 x {count} x {unit_kb:.2f} KB",
        2 * count * unit_kb / KB,
        "MB",
        target.MAX_CONTROL_MEMORY_MB,
        "`fescueshunt.core.document`",
    )
    watcher_count = watch.WATCHERS_PER_ZONE * target.ZONES
    call_rate = watcher_count * (rate + 1 / watch.WATCH_TIMEOUT_S)
    yield BudgetLine(
        "settings",
        "watches of the store, all zones",
        f"{watcher_count} x ({rate:.2f} + 1/{watch.WATCH_TIMEOUT_S:.0f} s)",
        call_rate,
        "calls/s",
        target.MAX_STORE_READS_PER_S,
        "`fescueshunt.settings.watch`",
    )
    yield BudgetLine(
        "settings",
        "changes in the store",
        f"{target.SETTINGS_CHANGES_PER_DAY} a day",
        rate,
        "calls/s",
        target.MAX_STORE_WRITES_PER_S,
        "`fescueshunt_proxy._internal.stores`",
    )


def _core_share_line(
    role: str, resource: str, calculation: str, cores: float, component: str
) -> BudgetLine:
    return BudgetLine(
        role,
        resource,
        calculation,
        cores * PERCENT,
        "% of a core",
        target.MAX_CONTROL_CORE_SHARE * PERCENT,
        component,
    )


def _traffic_line(
    role: str, resource: str, calculation: str, demand: float, component: str
) -> BudgetLine:
    return BudgetLine(
        role,
        resource,
        calculation,
        demand / KB,
        "KB/s",
        target.MAX_CONTROL_BYTES_PER_S / KB,
        component,
    )


_LINE_GENERATORS: tuple[
    Callable[[figures.MeasuredCosts], Iterator[BudgetLine]], ...
] = (
    _entry_lines,
    _home_lines,
    _watcher_lines,
    _member_lines,
    _settings_lines,
)
