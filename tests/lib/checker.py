"""An independent checker: a history of requests against the promises.

It knows nothing of proxies: only what callers sent, what they were told, and
what the database's log holds in the end.
"""

from __future__ import annotations

import collections
import dataclasses

from fescueshunt import errors
from fescueshunt.core import request
from fescueshunt_wire import replication

DONE = errors.Outcome.DONE
REFUSED = frozenset({errors.Outcome.NOT_RUN, errors.Outcome.FAILED})


@dataclasses.dataclass(slots=True)
class Sent:
    """One request as it was sent, and its answer if there was one.

    Attributes:
      tags: the rows that it, or the write it asks about, adds.
      known: for a read, the rows that its session knew of.
      write_id: the id of the write or COMMIT that `tags` belong to.
      answer: None where the proxy died first.
    """

    req: request.Request
    tags: tuple[str, ...] = ()
    known: frozenset[str] = frozenset()
    write_id: bytes = b""
    answer: request.Answer | None = None


def check(
    sent: list[Sent], rows: list[str], log: list[replication.Entry]
) -> list[str]:
    """Returns what breaks a promise, as text; empty if all hold."""
    counts = collections.Counter(rows)
    broken = [
        f"{tag} ran {count} times" for tag, count in counts.items() if count > 1
    ]
    broken += _answers(sent)
    broken += _outcomes(sent, counts)
    broken += _mixed(sent, log)
    return broken


def _answers(sent: list[Sent]) -> list[str]:
    """Checks that each answer is whole, its own, and fresh enough."""
    broken = []
    for one in sent:
        answer = one.answer
        if answer is None:
            continue
        if answer.request_id != one.req.request_id:
            broken.append(f"{one.req.request_id.hex()} got another's answer")
        if answer.error is not None or one.req.kind is not request.Kind.READ:
            continue
        echo, found = answer.results
        if echo.rows != ((one.req.request_id,),):
            broken.append(f"{one.req.request_id.hex()} got another's rows")
        missing = one.known - {row[0] for row in found.rows}
        if missing:
            broken.append(f"a read missed {sorted(missing)}")
    return broken


def _outcomes(sent: list[Sent], counts: collections.Counter[str]) -> list[str]:
    """Checks what was told of each write against what ran."""
    broken = []
    told: dict[bytes, list[Sent]] = {}
    for one in sent:
        if one.write_id:
            told.setdefault(one.write_id, []).append(one)
    for write_id, all_of_it in told.items():
        ran = {counts[tag] for one in all_of_it for tag in one.tags}
        outcomes = [_outcome(one) for one in all_of_it]
        if len(ran) > 1:
            broken.append(f"{write_id.hex()} is half done")
        if DONE in outcomes and 0 in ran:
            broken.append(f"{write_id.hex()} was done and is lost")
        settled = any(_is_settled(one) for one in all_of_it)
        if (settled or set(outcomes) <= REFUSED) and ran - {0}:
            broken.append(f"{write_id.hex()} was not run and ran")
    return broken


def _outcome(one: Sent) -> errors.Outcome:
    if one.answer is None:
        return errors.Outcome.UNKNOWN
    return one.answer.outcome


def _is_settled(one: Sent) -> bool:
    answer = one.answer
    return answer is not None and isinstance(
        answer.error, errors.RequestCancelledError
    )


def _mixed(sent: list[Sent], log: list[replication.Entry]) -> list[str]:
    """Checks that no log entry holds rows of two writes."""
    owner = {tag: one.write_id for one in sent for tag in one.tags}
    broken = []
    for entry in log:
        owners = {
            owner[value]
            for statement in entry.statements
            for value in statement.params
            if isinstance(value, str) and value in owner
        }
        if len(owners) > 1:
            broken.append(f"one entry holds rows of {len(owners)} writes")
    return broken
