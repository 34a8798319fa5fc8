"""What has to be sent on a connection so that a statement runs as it should."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from fescueshunt.core import position, sessions

if TYPE_CHECKING:
    from fescueshunt.sessions import items, pool


def plan(
    work: items.Work, link: pool.Link, since: position.Position | None
) -> collections.deque[sessions.UpstreamCall]:
    """Returns the calls, the client's statement last.

    The connection gets the session's values, and the prepared statement that
    is run, only where it differs. `since` is the position that is needed.
    """
    steps: collections.deque[sessions.UpstreamCall] = collections.deque()
    has_values, has_prepared = link.values, link.prepared
    if has_values.keys() - work.settings.values.keys():
        steps.append(sessions.Reset())
        has_values, has_prepared = {}, set()
    for name, value in work.settings.values.items():
        if has_values.get(name) != value:
            steps.append(sessions.SetValue(name, value))
    if work.prepared is not None:
        name = sessions.prepared_name(work.prepared)
        if name not in has_prepared:
            steps.append(sessions.Prepare(name, work.prepared))
    if work.begin is not None:
        steps.append(sessions.Begin(work.begin, since))
        since = None
    steps.append(_run(work, since))
    return steps


def cost(work: items.Work, link: pool.Link) -> int:
    """Returns how many calls the connection needs before the statement."""
    return len(plan(work, link, None)) - 1


def applied(link: pool.Link, call: sessions.UpstreamCall) -> None:
    """Notes what a call that succeeded changed on the connection."""
    match call:
        case sessions.Reset():
            link.values.clear()
            link.prepared.clear()
        case sessions.SetValue():
            link.values[call.name] = call.value
        case sessions.Prepare():
            link.prepared.add(call.name)


def is_final(call: sessions.UpstreamCall) -> bool:
    """Tells whether `call` is the client's statement itself."""
    return isinstance(call, sessions.RunStatement | sessions.RunPrepared)


def commits(work: items.Work | None) -> bool:
    """Tells whether `work` makes a change that a replica must receive."""
    if work is None:
        return False
    is_commit = work.statement.verb is sessions.Verb.COMMIT
    return is_commit or (work.writes and not work.in_transaction)


def _run(
    work: items.Work, since: position.Position | None
) -> sessions.UpstreamCall:
    if work.prepared is None:
        return sessions.RunStatement(work.statement, since)
    name = sessions.prepared_name(work.prepared)
    return sessions.RunPrepared(work.statement, name, since)
