"""Reads: run on a snapshot, and checked against token and age."""

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

MAX_CALL_S = 10.0


class Read(filters.Filter):
    """Runs reads. An answer counts only if it shows itself new enough."""

    def __init__(self) -> None:
        self._running: dict[int, items.Started] = {}
        self._groups: dict[str, views.GroupView] = {}

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields calls, answers and returns for reads."""
        match item:
            case items.Started(work=work) if work.req.kind is request.Kind.READ:
                self._running[item.conn] = item
                yield self._call(item)
            case core_items.UpstreamReplied() if item.conn in self._running:
                yield from self._replied(item)
            case core_items.UpstreamFailed() if item.conn in self._running:
                started = self._running.pop(item.conn)
                yield self._lost(item, started)
            case views.GroupView():
                self._groups[item.database] = item
                yield item
            case _:
                yield item

    def _call(self, item: items.Started) -> core_items.RunUpstream:
        call = upstream.Execute(
            upstream.Mode.READ, position.NO_TERM, item.work.req.statements
        )
        return core_items.RunUpstream(
            item.at,
            item.conn,
            call,
            min(item.work.deadline - item.at, MAX_CALL_S),
            item.work.req.request_id,
        )

    def _replied(
        self, item: core_items.UpstreamReplied
    ) -> Iterator[filters.Item]:
        started = self._running.pop(item.conn)
        is_result = isinstance(
            item.reply, upstream.Executed | upstream.Rejected
        )
        yield items.Released(item.at, item.conn, reusable=is_result)
        match item.reply:
            case upstream.Executed():
                yield self._check(item.at, started, item.reply)
            case upstream.Rejected():
                yield outcome.refuse(
                    item.at,
                    started.work,
                    errors.StatementError(item.reply.detail),
                )
            case _:
                yield self._again(
                    item.at, started, errors.FrameOrderError("not a result")
                )

    def _lost(
        self, item: core_items.UpstreamFailed, started: items.Started
    ) -> filters.Item:
        if isinstance(item.error, errors.FrameTooLargeError):
            error = errors.ResultTooLargeError(item.error.detail)
            return outcome.refuse(item.at, started.work, error)
        return self._again(item.at, started, item.error)

    def _check(
        self, now: float, started: items.Started, reply: upstream.Executed
    ) -> filters.Item:
        work = started.work
        error = limits.check_results(reply.results)
        if error is not None:
            return outcome.refuse(now, work, error)
        after = work.req.after
        if after is not None and not reply.history.holds(after):
            return self._again(now, started, errors.TooStaleError())
        view = self._groups.get(work.req.database)
        if view is not None and not view.is_non_divergent(reply.history, now):
            return self._again(now, started, errors.TooStaleError())
        age_s = None
        if view is not None:
            age_s = view.max_data_age_s(reply.history, now)
        limit_s = choose.max_age_s(work)
        if limit_s is not None and (age_s is None or age_s > limit_s):
            return self._again(now, started, errors.TooStaleError())
        answer = request.Answer(
            work.req.request_id,
            reply.results,
            upstream=started.upstream,
            from_replica=view is None or started.upstream != view.primary,
            age_s=age_s,
        )
        return outcome.finish(now, work, answer)

    def _again(
        self,
        now: float,
        started: items.Started,
        error: errors.FescueshuntError,
    ) -> items.Retried:
        view = self._groups.get(started.work.req.database)
        work = dataclasses.replace(
            started.work,
            error=error,
            avoid=started.work.avoid | {started.upstream},
            suggested=view.primary if view is not None else "",
        )
        brief = route.brief_of(view) if view is not None else None
        return items.Retried(now, work, brief)
