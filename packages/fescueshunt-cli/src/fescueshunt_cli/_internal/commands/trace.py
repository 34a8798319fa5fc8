"""`fescueshunt trace`: prints the spans of one request as a tree."""

from __future__ import annotations

import dataclasses
import json
import pathlib
from typing import Any

import pydantic

from fescueshunt_cli._internal.commands import base

INDENT = "  "


class SpanModel(pydantic.BaseModel):
    """The fields of a span that are read from a line of a trace file."""

    name: str
    context: dict[str, str]
    parent_id: str | None
    start_time: str
    end_time: str
    attributes: dict[str, Any]
    resource: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Span:
    """A span of a trace.

    Attributes:
      name: the name of the operation.
      span_id: the id of the span.
      parent_id: the id of the parent span, or empty.
      start_time: when the operation started, ISO 8601.
      end_time: when the operation ended, ISO 8601.
      process: the name of the process that recorded the span.
      outcome: the outcome of the operation, or empty.
    """

    name: str
    span_id: str
    parent_id: str
    start_time: str
    end_time: str
    process: str
    outcome: str


class TraceCommand(base.Command):
    """The command `trace`, which reads the trace files of proxies."""

    name = "trace"

    def run(self, request_id: str, *files: pathlib.Path) -> int:
        """Prints the spans of a request as a tree.

        Args:
          request_id: the request id; 32 hex digits.
          files: the trace files of the proxies.
        """
        spans = [
            span for path in files for span in read_spans(path, request_id)
        ]
        for line in format_tree(spans):
            print(line)
        return base.SUCCESS if spans else base.FAILURE


def read_spans(path: pathlib.Path, request_id: str) -> list[Span]:
    """Returns the spans of `request_id` in the trace file at `path`."""
    trace_id = f"0x{request_id}"
    with path.open(encoding="utf-8") as stream:
        lines = [json.loads(line) for line in stream if request_id in line]
    models = [SpanModel.model_validate(line) for line in lines]
    return [
        _make_span(model)
        for model in models
        if model.context["trace_id"] == trace_id
    ]


def format_tree(spans: list[Span]) -> list[str]:
    """Returns one line for each span, indented below its parent."""
    span_ids = {span.span_id for span in spans}
    roots = [span for span in spans if span.parent_id not in span_ids]
    return [
        line
        for root in _sort_by_start(roots)
        for line in _format_subtree(root, spans, 0)
    ]


def _format_subtree(span: Span, spans: list[Span], depth: int) -> list[str]:
    line = (
        f"{INDENT * depth}{span.name} {span.process} "
        f"{span.start_time} {span.end_time} {span.outcome}"
    )
    children = _sort_by_start([s for s in spans if s.parent_id == span.span_id])
    lines = [line]
    for child in children:
        lines.extend(_format_subtree(child, spans, depth + 1))
    return lines


def _sort_by_start(spans: list[Span]) -> list[Span]:
    return sorted(spans, key=lambda span: span.start_time)


def _make_span(model: SpanModel) -> Span:
    return Span(
        model.name,
        model.context["span_id"],
        model.parent_id or "",
        model.start_time,
        model.end_time,
        model.resource["attributes"]["service.name"],
        str(model.attributes.get("outcome", "")),
    )
