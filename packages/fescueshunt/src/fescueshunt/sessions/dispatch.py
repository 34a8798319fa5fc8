"""Gives statements connections to upstreams, the most urgent first.

What is known not to have run goes to another upstream by itself; what may have
run never does, unless it only reads.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from fescueshunt.core import (
    filters,
    replica_sets,
    routes,
    session_items,
    sessions,
    store_items,
)
from fescueshunt.sessions import (
    asks,
    items,
    pool,
    pools,
    queue,
    reports,
    retry,
    steps,
    watchdog,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Iterator

    from fescueshunt.core import position
    from fescueshunt.sessions import choose

BUSY_PAUSE_S = 0.01
REPORT_EVERY_S = 2.0
AT_LIMIT = frozenset({sessions.Failure.CONNECTION_LIMIT, sessions.Failure.BUSY})


class Dispatch(filters.Filter):
    """The queue of waiting statements, and the connections they run on."""

    def __init__(
        self, placement: choose.Placement, chance: random.Random
    ) -> None:
        self._placement = placement
        self._pools = pools.Pools(chance)
        self._queue = queue.Queue(placement, self._pools)
        self._held: dict[int, pool.Link] = {}
        self._report_at = 0.0
        self._transaction_idle_s = float("inf")

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields calls on connections, and what became of each statement."""
        match item:
            case session_items.LinkReplied():
                yield from self._reply(item)
            case items.WorkOffered():
                yield from self._offer(item.work, item.at)
            case items.EndTransaction():
                yield from self._end(item)
            case session_items.LinkOpened():
                yield from self._opened(item)
            case session_items.LinkFailed():
                yield from self._link_failed(item)
            case session_items.CallUpstream():
                yield from self._ask(item)
            case replica_sets.ReplicaSetView():
                yield from self._see(item)
            case filters.Tick():
                yield from self._tick(item.at)
            case routes.RoutesView():
                self._pools.set_policies(item)
                self._transaction_idle_s = item.transaction_idle_s
            case store_items.LiveHostsView():
                self._pools.set_hosts(len(item.names))
            case _:
                yield item

    # Statements.

    def _offer(self, work: items.Work, now: float) -> Iterator[filters.Item]:
        link = self._held.get(work.client)
        if link is not None:
            yield from self._start(link, work, None, now)
            return
        refusal = self._queue.add(work, now)
        if refusal is not None:
            yield _refused(refusal, now)
            return
        yield from self._pump(now)

    def _pump(self, now: float) -> Iterator[filters.Item]:
        """Starts what can start; opens connections for what can't."""
        for found in self._queue.startable(now):
            match found:
                case queue.Start():
                    yield from self._start(
                        found.link, found.work, found.since, now
                    )
                case queue.Refusal():
                    yield _refused(found, now)
        if len(self._queue):
            yield from self._queue.open_missing(now)
            yield from self._queue.request_status(now)

    def _start(
        self,
        link: pool.Link,
        work: items.Work,
        since: position.Position | None,
        now: float,
    ) -> Iterator[filters.Item]:
        link.work = work
        work.tries += 1
        work.sent = False
        yield from self._run(link, steps.plan(work, link, since), now)

    def _run(
        self,
        link: pool.Link,
        calls: Iterable[sessions.UpstreamCall],
        now: float,
    ) -> Iterator[filters.Item]:
        """Sends the first call; each reply lets the next one follow."""
        link.steps = collections.deque(calls)
        link.enter(pool.LinkState.WORKING, now)
        yield from self._send(link, now)

    def _send(self, link: pool.Link, now: float) -> Iterator[filters.Item]:
        call = link.steps[0]
        link.sent_at = now
        link.suspected = False
        if link.work is not None and steps.is_final(call):
            link.work.sent = True
        yield session_items.CallLink(now, link.number, call)

    def _reply(self, item: session_items.LinkReplied) -> Iterator[filters.Item]:
        link = self._pools.links.get(item.link)
        if link is None:
            return
        kept = self._pools.by_upstream[link.upstream]
        call = link.steps.popleft()
        yield from self._hear(kept, link, call, item)
        if item.reply.failure is None:
            steps.applied(link, call)
        if link.ask is not None:
            yield from self._asked(link, item)
        elif link.work is not None:
            yield from self._advance(link, call, item)
        else:
            yield from self._rolled_back(link, item)

    def _hear(
        self,
        kept: pool.Pool,
        link: pool.Link,
        call: sessions.UpstreamCall,
        item: session_items.LinkReplied,
    ) -> Iterator[filters.Item]:
        wrote = steps.is_final(call) and steps.commits(link.work)
        if kept.is_news(item.at) or wrote:
            yield session_items.UpstreamResponded(
                item.at, link.upstream, link.sent_at, item.reply.applied, wrote
            )

    def _advance(
        self,
        link: pool.Link,
        call: sessions.UpstreamCall,
        item: session_items.LinkReplied,
    ) -> Iterator[filters.Item]:
        work, reply = link.work, item.reply
        if reply.failure is None and link.steps:
            yield from self._send(link, item.at)
            return
        link.work = None
        link.steps.clear()
        self._queue.ended(work, item.at, ran=reply.failure is None)
        yield from self._settle(link, work, reply, item.at)
        if reply.failure is None:
            yield items.WorkDone(item.at, work, reply, None, "", link.upstream)
            return
        is_final = steps.is_final(call)
        decision = retry.on_reply(work, reply, is_final, item.at)
        yield from self._retry_or_fail(work, decision, reply, link, item.at)

    def _settle(
        self,
        link: pool.Link,
        work: items.Work,
        reply: sessions.UpstreamReply,
        now: float,
    ) -> Iterator[filters.Item]:
        """Frees a connection; an open transaction holds it until it fails."""
        is_idle = reply.state is sessions.TransactionState.IDLE
        if reply.failure is None and not is_idle:
            link.client = work.client
            link.enter(pool.LinkState.HELD, now)
            self._held[work.client] = link
            return
        self._held.pop(work.client, None)
        link.client = None
        if is_idle:
            yield from self._free(link, now)
        else:
            yield from self._roll_back(link, now)

    def _retry_or_fail(
        self,
        work: items.Work,
        decision: retry.Decision,
        reply: sessions.UpstreamReply | None,
        link: pool.Link,
        now: float,
    ) -> Iterator[filters.Item]:
        """Tries again, or ends the work."""
        if decision.failure is not None:
            yield items.WorkDone(
                now,
                work,
                reply,
                decision.failure,
                decision.detail,
                link.upstream,
            )
            return
        if decision.avoid:
            work.avoid.add(link.upstream)
        else:
            work.not_before = now + BUSY_PAUSE_S
        work.refuse_at = min(now + work.wait_s, work.expire_at)
        self._queue.add_again(work)
        yield from self._pump(now)

    # Connections.

    def _free(self, link: pool.Link, now: float) -> Iterator[filters.Item]:
        link.client = None
        link.enter(pool.LinkState.IDLE, now)
        kept = self._pools.by_upstream[link.upstream]
        if kept.asks:
            yield from self._send_ask(link, kept.asks.popleft(), now)
        else:
            yield from self._pump(now)

    def _roll_back(
        self,
        link: pool.Link,
        now: float,
        statement: sessions.Statement | None = None,
    ) -> Iterator[filters.Item]:
        yield from self._run(link, (sessions.Rollback(statement),), now)

    def _rolled_back(
        self, link: pool.Link, item: session_items.LinkReplied
    ) -> Iterator[filters.Item]:
        if item.reply.state is sessions.TransactionState.IDLE:
            yield from self._free(link, item.at)
        else:
            yield from self._drop(link, "rollback failed", item.at)

    def _end(self, item: items.EndTransaction) -> Iterator[filters.Item]:
        link = self._held.get(item.client)
        if link is None:
            return
        if link.state is pool.LinkState.HELD:
            del self._held[item.client]
            link.client = None
            yield from self._roll_back(link, item.at, item.statement)
        else:
            yield from self._drop(link, "client left", item.at)

    def _opened(self, item: session_items.LinkOpened) -> Iterator[filters.Item]:
        link = self._pools.links.get(item.link)
        if link is None:
            return
        kept = self._pools.by_upstream[link.upstream]
        kept.opened()
        kept.heard_at = item.at
        yield from self._free(link, item.at)

    def _link_failed(
        self, item: session_items.LinkFailed
    ) -> Iterator[filters.Item]:
        link = self._pools.links.get(item.link)
        if link is None:
            return
        kept = self._pools.by_upstream[link.upstream]
        kept.refused = item.refusal is sessions.Failure.WRONG_UPSTREAM
        is_at_limit = item.refusal in AT_LIMIT
        if is_at_limit:
            self._pools.reached_limit(link, item.at)
        elif link.state is pool.LinkState.OPENING:
            self._pools.failed(link, item.at)
            yield from asks.fail(kept, item.at)
        yield reports.link_failed(kept, link, item)
        if not is_at_limit:
            yield session_items.UpstreamSuspected(
                item.at, link.upstream, item.error.code
            )
        yield from self._lose(link, item.error.code, item.at)

    def _drop(
        self, link: pool.Link, detail: str, now: float
    ) -> Iterator[filters.Item]:
        """Closes a connection in doubt, and settles what was on it."""
        yield self._pools.close(link, now)
        yield from self._lose(link, detail, now)

    def _lose(
        self, link: pool.Link, detail: str, now: float
    ) -> Iterator[filters.Item]:
        self._pools.remove(link)
        if link.client is not None:
            self._held.pop(link.client, None)
            if link.work is None:
                yield items.TransactionDropped(now, link.client, detail)
        if link.ask is not None:
            yield asks.unanswered(link.ask, link.sent_at, now)
        if link.work is not None:
            work, link.work = link.work, None
            self._queue.ended(work, now, ran=False)
            decision = retry.on_loss(work, detail, now)
            yield from self._retry_or_fail(work, decision, None, link, now)
        yield from self._pump(now)

    # Calls of our own.

    def _ask(self, item: session_items.CallUpstream) -> Iterator[filters.Item]:
        kept = self._pools.by_upstream.get(item.upstream)
        if kept is None:
            yield asks.unanswered(item, item.at, item.at)
            return
        idle = kept.idle_links()
        if idle:
            yield from self._send_ask(idle[0], item, item.at)
            return
        kept.asks.append(item)
        if not kept.count(pool.LinkState.OPENING) and kept.may_open(item.at):
            yield self._pools.open(kept, item.at)

    def _send_ask(
        self,
        link: pool.Link,
        ask: session_items.CallUpstream,
        now: float,
    ) -> Iterator[filters.Item]:
        link.ask = ask
        yield from self._run(link, (ask.call,), now)

    def _asked(
        self, link: pool.Link, item: session_items.LinkReplied
    ) -> Iterator[filters.Item]:
        ask, link.ask = link.ask, None
        yield session_items.UpstreamCallCompleted(
            item.at, ask.upstream, ask.call, link.sent_at, item.reply
        )
        yield from self._free(link, item.at)

    # Time and views.

    def _see(self, view: replica_sets.ReplicaSetView) -> Iterator[filters.Item]:
        self._queue.see(view)
        for link in list(self._pools.set_members(view)):
            yield from self._drop(link, "upstream is gone", view.at)
        self._pools.set_permanent(self._placement.permanent(view))
        yield from self._pump(view.at)

    def _tick(self, now: float) -> Iterator[filters.Item]:
        yield from watchdog.slow(self._pools, now)
        yield from self._expire_links(now)
        yield from self._expire_transactions(now)
        yield from self._expire_waiting(now)
        yield from asks.expire(self._pools.by_upstream.values(), now)
        yield from self._pools.upkeep(now)
        for link in self._pools.surplus(now):
            yield self._pools.close(link, now)
        yield from self._pump(now)
        if now >= self._report_at:
            self._report_at = now + REPORT_EVERY_S
            yield reports.sizes(self._pools, len(self._queue), now)

    def _expire_links(self, now: float) -> Iterator[filters.Item]:
        for link in self._pools.overdue(now):
            self._pools.failed(link, now)
            kept = self._pools.by_upstream[link.upstream]
            yield from asks.fail(kept, now)
            yield from self._drop(link, "open timed out", now)
        for link in watchdog.stuck(self._pools, now):
            yield from self._drop(link, "timeout", now)

    def _expire_transactions(self, now: float) -> Iterator[filters.Item]:
        """Ends the transactions of clients that say nothing more."""
        idle_s = self._transaction_idle_s
        for link in watchdog.idle_transactions(self._pools, idle_s, now):
            client = link.client
            yield items.TransactionDropped(now, client, "idle")
            yield from self._end(items.EndTransaction(now, client))

    def _expire_waiting(self, now: float) -> Iterator[filters.Item]:
        for refusal in self._queue.overdue(now):
            yield _refused(refusal, now)


def _refused(refusal: queue.Refusal, now: float) -> items.WorkDone:
    decision = retry.on_refusal(refusal.why)
    return items.WorkDone(
        now, refusal.work, None, decision.failure, decision.detail, ""
    )
