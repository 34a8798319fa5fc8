"""Filter that runs reads on a snapshot and checks how old the result is."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt import errors
from fescueshunt.core import (
    filters,
    position,
    request,
    upstream,
    views,
)
from fescueshunt.core import (
    items as core_items,
)
from fescueshunt.request import choose, items, limits, outcome, route

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_CALL_TIMEOUT_S = 10.0


class Read(filters.Filter):
    """Runs reads, and retries those whose result is not new enough.

    The history in the reply shows whether the snapshot includes the position in
    the session token and satisfies the age limit.
    """

    def __init__(self) -> None:
        self._running: dict[int, items.Started] = {}
        self._groups: dict[str, views.GroupView] = {}

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields calls, answers and retries of reads."""
        match item:
            case items.Started(work=work) if work.req.kind is request.Kind.READ:
                self._running[item.conn] = item
                yield self._build_call(item)
            case core_items.UpstreamReplied() if item.conn in self._running:
                yield from self._handle_reply(item)
            case core_items.UpstreamFailed() if item.conn in self._running:
                started = self._running.pop(item.conn)
                yield self._handle_failure(item, started)
            case views.GroupView():
                self._groups[item.database] = item
                yield item
            case _:
                yield item

    def _build_call(self, item: items.Started) -> core_items.RunUpstream:
        call = upstream.Execute(
            upstream.Mode.READ, position.NO_TERM, item.work.req.statements
        )
        return core_items.RunUpstream(
            item.at,
            item.conn,
            call,
            min(item.work.deadline - item.at, MAX_CALL_TIMEOUT_S),
            item.work.req.request_id,
        )

    def _handle_reply(
        self, item: core_items.UpstreamReplied
    ) -> Iterator[filters.Item]:
        started = self._running.pop(item.conn)
        connection_is_clean = isinstance(
            item.reply, upstream.Executed | upstream.Rejected
        )
        yield items.ConnectionReleased(
            item.at, item.conn, reusable=connection_is_clean
        )
        match item.reply:
            case upstream.Executed():
                yield self._check_result(item.at, started, item.reply)
            case upstream.Rejected():
                yield outcome.refuse(
                    item.at,
                    started.work,
                    errors.StatementError(item.reply.detail),
                )
            case _:
                yield self._retry(
                    item.at,
                    started,
                    errors.FrameOrderError("not a result"),
                )

    def _handle_failure(
        self, item: core_items.UpstreamFailed, started: items.Started
    ) -> filters.Item:
        if isinstance(item.error, errors.FrameTooLargeError):
            error = errors.ResultTooLargeError(item.error.detail)
            return outcome.refuse(item.at, started.work, error)
        return self._retry(item.at, started, item.error)

    def _check_result(
        self, now: float, started: items.Started, reply: upstream.Executed
    ) -> filters.Item:
        work = started.work
        error = limits.check_results(reply.results)
        if error is not None:
            return outcome.refuse(now, work, error)
        after = work.req.after
        if after is not None and not reply.history.holds(after):
            return self._retry(now, started, errors.TooStaleError())
        view = self._groups.get(work.req.database)
        if view is not None and not view.is_non_divergent(reply.history, now):
            return self._retry(now, started, errors.TooStaleError())
        age_s = None
        if view is not None:
            age_s = view.max_data_age_s(reply.history, now)
        limit_s = choose.max_age_s(work)
        if limit_s is not None and (age_s is None or age_s > limit_s):
            return self._retry(now, started, errors.TooStaleError())
        answer = request.Answer(
            work.req.request_id,
            reply.results,
            upstream=started.upstream,
            from_replica=view is None or started.upstream != view.primary,
            age_s=age_s,
        )
        return outcome.finish(now, work, answer)

    def _retry(
        self,
        now: float,
        started: items.Started,
        error: errors.FescueshuntError,
    ) -> items.RetryNeeded:
        view = self._groups.get(started.work.req.database)
        work = dataclasses.replace(
            started.work,
            error=error,
            excluded=started.work.excluded | {started.upstream},
            suggested=view.primary if view is not None else "",
        )
        brief = route.group_brief(view) if view is not None else None
        return items.RetryNeeded(now, work, brief)
