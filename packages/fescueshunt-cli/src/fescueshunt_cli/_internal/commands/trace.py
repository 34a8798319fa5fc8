"""`fescueshunt trace`: the hops of one request, as a tree."""

from __future__ import annotations

import dataclasses
import json
import pathlib
from typing import Any

import pydantic

from fescueshunt_cli._internal.commands import base

INDENT = "  "


class SpanModel(pydantic.BaseModel):
    """What is read of one line of a trace file."""

    name: str
    context: dict[str, str]
    parent_id: str | None
    start_time: str
    end_time: str
    attributes: dict[str, Any]
    resource: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Hop:
    """One span."""

    name: str
    span: str
    parent: str
    start: str
    end: str
    process: str
    outcome: str


class TraceCommand(base.Command):
    """Prints a trace from the trace files of all processes."""

    name = "trace"

    def run(self, request_id: str, *files: pathlib.Path) -> int:
        """Prints the spans of a request as a tree.

        Args:
          request_id: 32 hex digits.
          files: the trace files of the proxies.
        """
        hops = [hop for path in files for hop in read_hops(path, request_id)]
        for line in tree(hops):
            print(line)
        return base.SUCCESS if hops else base.FAILURE


def read_hops(path: pathlib.Path, request_id: str) -> list[Hop]:
    """Returns the spans of `request_id` in the trace file at `path`."""
    wanted = f"0x{request_id}"
    with path.open(encoding="utf-8") as stream:
        lines = [json.loads(line) for line in stream if request_id in line]
    spans = [SpanModel.model_validate(line) for line in lines]
    return [_hop(s) for s in spans if s.context["trace_id"] == wanted]


def tree(hops: list[Hop]) -> list[str]:
    """Returns one line for each hop, indented below its parent."""
    known = {hop.span for hop in hops}
    roots = [hop for hop in hops if hop.parent not in known]
    return [line for root in _sorted(roots) for line in _below(root, hops, 0)]


def _below(hop: Hop, hops: list[Hop], depth: int) -> list[str]:
    line = (
        f"{INDENT * depth}{hop.name} {hop.process} "
        f"{hop.start} {hop.end} {hop.outcome}"
    )
    children = _sorted([h for h in hops if h.parent == hop.span])
    lines = [line]
    for child in children:
        lines.extend(_below(child, hops, depth + 1))
    return lines


def _sorted(hops: list[Hop]) -> list[Hop]:
    return sorted(hops, key=lambda hop: hop.start)


def _hop(span: SpanModel) -> Hop:
    return Hop(
        span.name,
        span.context["span_id"],
        span.parent_id or "",
        span.start_time,
        span.end_time,
        span.resource["attributes"]["service.name"],
        str(span.attributes.get("outcome", "")),
    )
