"""Gives statements connections to upstreams, the most urgent first.

What is known not to have run goes to another upstream by itself; what may have
run never does, unless it only reads.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fescueshunt.core import (
    filters,
    replica_sets,
    routes,
    session_items,
    sessions,
)
from fescueshunt.sessions import choose, items, pool, pools, steps, verdict

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

BUSY_PAUSE_S = 0.01
TELL_EVERY_S = 0.05
WANT_EVERY_S = 0.1
SLOW_S = 0.35
REPORT_EVERY_S = 2.0
CROWDED = frozenset({sessions.Failure.CONNECTION_LIMIT, sessions.Failure.BUSY})


class Dispatch(filters.Filter):
    """The queue of waiting statements, and the connections they run on."""

    def __init__(
        self, placement: choose.Placement, chance: random.Random
    ) -> None:
        self._placement = placement
        self._pools = pools.Pools(chance)
        self._views: dict[str, replica_sets.ReplicaSetView] = {}
        self._waiting: list[items.Work] = []
        self._held: dict[int, pool.Link] = {}
        self._wanted_at: dict[str, float] = {}
        self._report_at = 0.0

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
            case session_items.AskUpstream():
                yield from self._ask(item)
            case replica_sets.ReplicaSetView():
                yield from self._see(item)
            case filters.Tick():
                yield from self._tick(item.at)
            case routes.RoutesView():
                self._pools.set_policies(item)
            case session_items.LiveHostsView():
                self._pools.set_hosts(len(item.names))
            case _:
                yield item

    # Statements.

    def _offer(self, work: items.Work, now: float) -> Iterator[filters.Item]:
        link = self._held.get(work.client)
        if link is not None:
            yield from self._start(link, work, None, now)
            return
        self._enqueue(work)
        yield from self._pump(now)

    def _enqueue(self, work: items.Work) -> None:
        self._waiting.append(work)
        self._waiting.sort(key=lambda w: (w.route.priority, w.arrived_at))

    def _pump(self, now: float) -> Iterator[filters.Item]:
        """Starts what can start; opens connections for what can't."""
        still: list[items.Work] = []
        for work in self._waiting:
            effects = self._place(work, now)
            if effects is None:
                still.append(work)
            else:
                yield from effects
        self._waiting = still
        if still:
            yield from self._open_for(still, now)
            yield from self._want_confirmation(still, now)

    def _place(
        self, work: items.Work, now: float
    ) -> Iterator[filters.Item] | None:
        if now < work.not_before:
            return None
        for choice in self._choices(work, now):
            idle = self._pools.by_upstream[choice.upstream].idle_links()
            if idle:
                link = min(idle, key=lambda one: steps.cost(work, one))
                return self._start(link, work, choice.since, now)
        return None

    def _choices(self, work: items.Work, now: float) -> list[choose.Choice]:
        view = self._views.get(work.route.database)
        if view is None:
            return []
        by_upstream = self._pools.by_upstream
        return self._placement.choices(work, view, by_upstream, now)

    def _open_for(
        self, waiting: list[items.Work], now: float
    ) -> Iterator[filters.Item]:
        """Opens a connection where one that is being opened isn't enough."""
        wanted: dict[str, int] = {}
        for work in waiting:
            choices = self._choices(work, now)
            if choices:
                first = choices[0].upstream
                wanted[first] = wanted.get(first, 0) + 1
        for upstream, count in wanted.items():
            kept = self._pools.by_upstream[upstream]
            opening = kept.count(pool.LinkState.OPENING)
            if opening < count and kept.may_open(now):
                yield self._pools.open(kept, now)

    def _want_confirmation(
        self, waiting: list[items.Work], now: float
    ) -> Iterator[filters.Item]:
        """Asks for the members' words where work waits for them."""
        for work in waiting:
            database = work.route.database
            asked_at = self._wanted_at.get(database, 0.0)
            if now - asked_at >= WANT_EVERY_S and self._lacks_word(work, now):
                self._wanted_at[database] = now
                yield session_items.ConfirmationWanted(now, database)

    def _lacks_word(self, work: items.Work, now: float) -> bool:
        """Tells whether `work` waits for what the members can tell.

        That is who leads, without a lease, or a position that covers what a
        read has to see, without a connection to the primary.
        """
        view = self._views.get(work.route.database)
        if view is None:
            return False
        primary = self._pools.by_upstream.get(view.primary)
        has_link = primary is not None and primary.has_open_link()
        if view.is_confirmed(now) and has_link:
            return False
        if work.needs_primary:
            return not view.is_moving and not view.is_confirmed(now)
        return choose.needed_position(work, view) is None

    def _start(
        self,
        link: pool.Link,
        work: items.Work,
        since: object,
        now: float,
    ) -> Iterator[filters.Item]:
        link.work = work
        link.steps = steps.plan(work, link, since)
        link.enter(pool.LinkState.WORKING, now)
        work.tries += 1
        work.sent = False
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
        kept.heard_at = item.at
        wrote = steps.is_final(call) and _commits(link.work)
        if wrote or item.at - kept.told_at >= TELL_EVERY_S:
            kept.told_at = item.at
            yield session_items.UpstreamHeard(
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
        if reply.failure is None:
            yield from self._keep(link, work, item)
            yield self._done(work, reply, None, "", link, item.at)
            return
        is_final = steps.is_final(call)
        ruling = verdict.on_reply(work, call, reply, is_final, item.at)
        yield from self._let_go(link, work, reply, item.at)
        yield from self._rule(work, ruling, reply, link, item.at)

    def _keep(
        self,
        link: pool.Link,
        work: items.Work,
        item: session_items.LinkReplied,
    ) -> Iterator[filters.Item]:
        """Holds the connection of an open transaction, or frees it."""
        if item.reply.state is sessions.TransactionState.IDLE:
            self._held.pop(work.client, None)
            yield from self._free(link, item.at)
            return
        link.client = work.client
        link.enter(pool.LinkState.HELD, item.at)
        self._held[work.client] = link

    def _let_go(
        self,
        link: pool.Link,
        work: items.Work,
        reply: sessions.UpstreamReply,
        now: float,
    ) -> Iterator[filters.Item]:
        """Frees a connection after a failure, rolling back what is open."""
        self._held.pop(work.client, None)
        link.client = None
        if reply.state is sessions.TransactionState.IDLE:
            yield from self._free(link, now)
        else:
            yield from self._roll_back(link, now)

    def _rule(
        self,
        work: items.Work,
        ruling: verdict.Ruling,
        reply: sessions.UpstreamReply | None,
        link: pool.Link,
        now: float,
    ) -> Iterator[filters.Item]:
        """Tries again, or ends the work."""
        if ruling.failure is not None:
            yield self._done(
                work, reply, ruling.failure, ruling.detail, link, now
            )
            return
        if ruling.avoid:
            work.avoid.add(link.upstream)
        else:
            work.not_before = now + BUSY_PAUSE_S
        work.refuse_at = min(now + work.wait_s, work.expire_at)
        self._enqueue(work)
        yield from self._pump(now)

    def _done(
        self,
        work: items.Work,
        reply: sessions.UpstreamReply | None,
        failure: sessions.Failure | None,
        detail: str,
        link: pool.Link | None,
        now: float,
    ) -> items.WorkDone:
        upstream = link.upstream if link is not None else ""
        return items.WorkDone(now, work, reply, failure, detail, upstream)

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
        link.steps.clear()
        link.steps.append(sessions.Rollback(statement))
        link.enter(pool.LinkState.WORKING, now)
        yield from self._send(link, now)

    def _rolled_back(
        self, link: pool.Link, item: session_items.LinkReplied
    ) -> Iterator[filters.Item]:
        if item.reply.state is sessions.TransactionState.IDLE:
            yield from self._free(link, item.at)
        else:
            yield from self._close(link, item.at)

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

    def _close(self, link: pool.Link, now: float) -> Iterator[filters.Item]:
        self._pools.remove(link)
        yield session_items.CloseLink(now, link.number)
        yield from self._pump(now)

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
        is_crowded = item.refusal in CROWDED
        if is_crowded:
            self._pools.crowded(link, item.at)
        elif link.state is pool.LinkState.OPENING:
            self._pools.failed(link, item.at)
            yield from self._fail_asks(kept, item)
        details = {
            "upstream": link.upstream,
            "was": link.state.value,
            "error": item.error.code,
            "refusal": item.refusal.value if item.refusal else "",
            "links": len(kept.links),
            "failures": kept.failures,
        }
        yield session_items.Decided(item.at, "link_failed", "", details)
        if not is_crowded:
            yield session_items.UpstreamSuspected(
                item.at, link.upstream, item.error.code
            )
        yield from self._lose(link, item.error.code, item.at)

    def _drop(
        self, link: pool.Link, detail: str, now: float
    ) -> Iterator[filters.Item]:
        """Closes a connection in doubt, and settles what was on it."""
        yield session_items.CloseLink(now, link.number)
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
            yield _unanswered(link.ask, link.sent_at, now)
        if link.work is not None:
            work, link.work = link.work, None
            ruling = verdict.on_loss(work, detail, now)
            yield from self._rule(work, ruling, None, link, now)
        yield from self._pump(now)

    # Calls of our own.

    def _ask(self, item: session_items.AskUpstream) -> Iterator[filters.Item]:
        kept = self._pools.by_upstream.get(item.upstream)
        if kept is None:
            yield _unanswered(item, item.at, item.at)
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
        ask: session_items.AskUpstream,
        now: float,
    ) -> Iterator[filters.Item]:
        link.ask = ask
        link.steps.clear()
        link.steps.append(ask.call)
        link.enter(pool.LinkState.WORKING, now)
        yield from self._send(link, now)

    def _asked(
        self, link: pool.Link, item: session_items.LinkReplied
    ) -> Iterator[filters.Item]:
        ask, link.ask = link.ask, None
        yield session_items.UpstreamAnswered(
            item.at, ask.upstream, ask.call, link.sent_at, item.reply
        )
        yield from self._free(link, item.at)

    def _fail_asks(
        self, kept: pool.Pool, item: session_items.LinkFailed
    ) -> Iterator[filters.Item]:
        """Answers calls that wait for a connection that can't be had."""
        if len(kept.links) > 1:
            return
        while kept.asks:
            ask = kept.asks.popleft()
            yield _unanswered(ask, ask.at, item.at, refused=kept.refused)

    # Time and views.

    def _see(self, view: replica_sets.ReplicaSetView) -> Iterator[filters.Item]:
        self._views[view.database] = view
        for link in list(self._pools.set_members(view)):
            yield from self._drop(link, "upstream is gone", view.at)
        self._pools.set_standing(self._placement.standing(view))
        yield from self._pump(view.at)

    def _tick(self, now: float) -> Iterator[filters.Item]:
        yield from self._suspect_slow(now)
        yield from self._expire_links(now)
        yield from self._expire_waiting(now)
        yield from self._expire_asks(now)
        yield from self._pools.upkeep(now)
        for link in self._pools.surplus(now):
            self._pools.remove(link)
            yield session_items.CloseLink(now, link.number)
        yield from self._pump(now)
        yield from self._report(now)

    def _report(self, now: float) -> Iterator[filters.Item]:
        """Tells now and then how many connections there are to whom."""
        if now < self._report_at:
            return
        self._report_at = now + REPORT_EVERY_S
        sizes = {
            upstream: len(kept.links)
            for upstream, kept in self._pools.by_upstream.items()
        }
        details = {"links": sizes, "waiting": len(self._waiting)}
        yield session_items.Decided(now, "pools", "", details)

    def _suspect_slow(self, now: float) -> Iterator[filters.Item]:
        """Reports statements that take long at an upstream that is silent."""
        for link in self._pools.links.values():
            slow_s = now - link.sent_at
            if link.work is None or link.suspected or slow_s < SLOW_S:
                continue
            commits = steps.is_final(link.steps[0]) and _commits(link.work)
            heard_at = self._pools.by_upstream[link.upstream].heard_at
            if not commits and heard_at >= link.sent_at:
                continue
            link.suspected = True
            since = link.sent_at if commits else None
            yield session_items.UpstreamSuspected(
                now, link.upstream, "slow", since
            )

    def _expire_links(self, now: float) -> Iterator[filters.Item]:
        for link in self._pools.overdue(now):
            self._pools.failed(link, now)
            kept = self._pools.by_upstream[link.upstream]
            lost = session_items.LinkFailed(now, link.number, verdict.SILENT)
            yield from self._fail_asks(kept, lost)
            yield from self._drop(link, "open timed out", now)
        for link in list(self._pools.links.values()):
            late_work = link.work is not None and now > link.work.expire_at
            late_ask = link.ask is not None and now > link.ask.deadline
            if late_work or late_ask:
                yield from self._drop(link, "timeout", now)

    def _expire_waiting(self, now: float) -> Iterator[filters.Item]:
        over = [work for work in self._waiting if now > work.refuse_at]
        if not over:
            return
        self._waiting = [w for w in self._waiting if now <= w.refuse_at]
        for work in over:
            ruling = verdict.on_refusal(self._why_waiting(work, now))
            yield self._done(
                work, None, ruling.failure, ruling.detail, None, now
            )

    def _why_waiting(self, work: items.Work, now: float) -> str:
        """Returns what `work` waited for, for logs and for the client."""
        view = self._views.get(work.route.database)
        if view is None:
            return "no upstreams known"
        if self._choices(work, now):
            return "no connection free"
        if not work.needs_primary:
            return "no upstream fresh enough"
        if view.is_moving:
            return "primary is being replaced"
        if not view.primary:
            return "no primary known"
        if not view.is_confirmed(now):
            return "primary not confirmed"
        return "primary turned it away"

    def _expire_asks(self, now: float) -> Iterator[filters.Item]:
        for kept in self._pools.by_upstream.values():
            while kept.asks and now > kept.asks[0].deadline:
                ask = kept.asks.popleft()
                if kept.heard_at < ask.at:
                    yield _unanswered(ask, ask.at, now)
                else:
                    yield _unanswered(ask, ask.at, now, sent=False)


def _commits(work: items.Work | None) -> bool:
    """Tells whether `work` makes a change that a replica must receive."""
    if work is None:
        return False
    is_commit = work.statement.verb is sessions.Verb.COMMIT
    return is_commit or (work.writes and not work.in_transaction)


def _unanswered(
    ask: session_items.AskUpstream,
    sent_at: float,
    now: float,
    *,
    refused: bool = False,
    sent: bool = True,
) -> session_items.UpstreamAnswered:
    return session_items.UpstreamAnswered(
        now, ask.upstream, ask.call, sent_at, None, refused, sent
    )
