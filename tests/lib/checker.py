"""Checks a history of requests against the guarantees of the proxy.

The checker uses no state of the proxies. It compares the requests that callers
sent and the answers that they got with the final table and log of the database.
"""

from __future__ import annotations

import collections
import dataclasses

from fescueshunt import errors
from fescueshunt.core import request
from fescueshunt_wire import replication

DONE = errors.Outcome.DONE
NOT_APPLIED = frozenset({errors.Outcome.NOT_RUN, errors.Outcome.FAILED})


@dataclasses.dataclass(slots=True)
class RequestRecord:
    """A request and its answer.

    Attributes:
      req: the request as it was sent.
      tags: the rows added by the request, or by the write whose outcome it
        requests.
      known_tags: for a read, the rows that the result must include.
      write_id: the id of the write or COMMIT that adds `tags`.
      answer: the answer, or None if there was none, as after a crash of the
        proxy.
    """

    req: request.Request
    tags: tuple[str, ...] = ()
    known_tags: frozenset[str] = frozenset()
    write_id: bytes = b""
    answer: request.Answer | None = None


def find_violations(
    records: list[RequestRecord], rows: list[str], log: list[replication.Entry]
) -> list[str]:
    """Returns a description of each violated guarantee."""
    counts = collections.Counter(rows)
    violations = [
        f"{tag} ran {count} times" for tag, count in counts.items() if count > 1
    ]
    violations += _check_answers(records)
    violations += _check_outcomes(records, counts)
    violations += _check_log_entries(records, log)
    return violations


def _check_answers(records: list[RequestRecord]) -> list[str]:
    """Checks that each answer belongs to its request.

    The result of a read must also include the rows that its session knows.
    """
    violations = []
    for record in records:
        answer = record.answer
        if answer is None:
            continue
        if answer.request_id != record.req.request_id:
            violations.append(
                f"{record.req.request_id.hex()} got another request's answer"
            )
        if answer.error is not None or record.req.kind is not request.Kind.READ:
            continue
        echo, result = answer.results
        if echo.rows != ((record.req.request_id,),):
            violations.append(
                f"{record.req.request_id.hex()} got another request's rows"
            )
        missing = record.known_tags - {row[0] for row in result.rows}
        if missing:
            violations.append(f"a read missed {sorted(missing)}")
    return violations


def _check_outcomes(
    records: list[RequestRecord], counts: collections.Counter[str]
) -> list[str]:
    """Checks the reported outcomes of each write against the final table."""
    violations = []
    records_by_write: dict[bytes, list[RequestRecord]] = {}
    for record in records:
        if record.write_id:
            records_by_write.setdefault(record.write_id, []).append(record)
    for write_id, write_records in records_by_write.items():
        run_counts = {
            counts[tag] for record in write_records for tag in record.tags
        }
        outcomes = [_outcome_of(record) for record in write_records]
        if len(run_counts) > 1:
            violations.append(f"{write_id.hex()} is only partly done")
        if DONE in outcomes and 0 in run_counts:
            violations.append(
                f"{write_id.hex()} was reported as done and is lost"
            )
        cancelled = any(_is_cancelled(record) for record in write_records)
        if (cancelled or set(outcomes) <= NOT_APPLIED) and run_counts - {0}:
            violations.append(
                f"{write_id.hex()} was reported as not run and ran"
            )
    return violations


def _outcome_of(record: RequestRecord) -> errors.Outcome:
    if record.answer is None:
        return errors.Outcome.UNKNOWN
    return record.answer.outcome


def _is_cancelled(record: RequestRecord) -> bool:
    answer = record.answer
    return answer is not None and isinstance(
        answer.error, errors.RequestCancelledError
    )


def _check_log_entries(
    records: list[RequestRecord], log: list[replication.Entry]
) -> list[str]:
    """Checks that no log entry has rows of more than one write."""
    write_ids = {
        tag: record.write_id for record in records for tag in record.tags
    }
    violations = []
    for entry in log:
        entry_write_ids = {
            write_ids[value]
            for statement in entry.statements
            for value in statement.params
            if isinstance(value, str) and value in write_ids
        }
        if len(entry_write_ids) > 1:
            violations.append(
                f"one log entry holds rows of {len(entry_write_ids)} writes"
            )
    return violations
