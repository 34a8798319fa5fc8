"""Traces: a span for each hop of a request, as JSON lines.

The trace id is the request id, so that every process writes to one trace.
"""

from __future__ import annotations

import contextlib
import pathlib
from typing import TYPE_CHECKING, TextIO

from opentelemetry import trace
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk
from opentelemetry.sdk.trace import export

from fescueshunt.core import filters, identity, items, peer

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

ID_BYTES = 8
SHARE_STEPS = 1 << 16


class LinesExporter(export.SpanExporter):
    """Writes each span as one line of JSON, as it ends, on the one thread."""

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream

    def export(
        self, spans: Sequence[sdk.ReadableSpan]
    ) -> export.SpanExportResult:
        """Writes `spans`."""
        for span in spans:
            self._stream.write(span.to_json(indent=None) + "\n")
        self._stream.flush()
        return export.SpanExportResult.SUCCESS


class Tracer:
    """Opens and ends spans as items pass by, and joins them over hops."""

    def __init__(self, tracer: trace.Tracer, share: float) -> None:
        self._tracer = tracer
        self._share = share
        self._open: dict[tuple[str, object], trace.Span] = {}
        self._current: dict[bytes, trace.Span] = {}

    def enter(self, item: filters.Item) -> None:
        """Notes an item that enters the core."""
        match item:
            case items.CallerRequest():
                key = ("entry", (item.conn, item.seq))
                self._start(key, item.req.request_id, b"")
            case items.PeerReceived(message=peer.ForwardedRequest() as message):
                key = ("home", (item.sender, message.seq))
                request_id = message.request.request_id
                self._start(key, request_id, message.span)
            case items.UpstreamReplied() | items.UpstreamFailed():
                self._end(("upstream", item.conn), type(item).__name__)

    def answer_caller(self, item: items.AnswerCaller) -> None:
        """Ends the span of a caller's request."""
        key = ("entry", (item.conn, item.seq))
        self._current.pop(item.answer.request_id, None)
        self._end(key, item.answer.outcome.value)

    def send_peer(self, item: items.SendPeer) -> None:
        """Ends the span of a forwarded request."""
        match item.message:
            case peer.ForwardedAnswer(seq=seq, answer=answer):
                key = ("home", (item.name, seq))
                self._current.pop(answer.request_id, None)
                self._end(key, answer.outcome.value)
            case peer.Redirected(seq=seq):
                self._end(("home", (item.name, seq)), "redirected")

    def run_upstream(self, item: items.RunUpstream) -> None:
        """Starts the span of a call to an upstream."""
        self._start(("upstream", item.conn), item.request_id, b"")

    def span_of(self, request_id: bytes) -> bytes:
        """Returns the id of the open span of a request; empty for none."""
        span = self._current.get(request_id)
        if span is None:
            return b""
        return span.get_span_context().span_id.to_bytes(ID_BYTES, "big")

    def _start(
        self, key: tuple[str, object], request_id: bytes, parent: bytes
    ) -> None:
        if not request_id or not self._is_chosen(request_id):
            return
        parent = parent or self.span_of(request_id) or request_id[-ID_BYTES:]
        context = trace.SpanContext(
            int.from_bytes(request_id, "big"),
            int.from_bytes(parent, "big"),
            is_remote=True,
            trace_flags=trace.TraceFlags(trace.TraceFlags.SAMPLED),
        )
        around = trace.set_span_in_context(trace.NonRecordingSpan(context))
        span = self._tracer.start_span(key[0], context=around)
        self._open[key] = span
        if key[0] != "upstream":
            self._current[request_id] = span

    def _is_chosen(self, request_id: bytes) -> bool:
        noise = int.from_bytes(request_id[-2:], "big")
        return noise < self._share * SHARE_STEPS

    def _end(self, key: tuple[str, object], outcome: str) -> None:
        span = self._open.pop(key, None)
        if span is not None:
            span.set_attribute("outcome", outcome)
            span.end()


@contextlib.contextmanager
def tracing(
    path: str, share: float, me: identity.Identity
) -> Iterator[Tracer | None]:
    """Opens the trace file and yields a tracer, None for an empty path."""
    if not path:
        yield None
        return
    with pathlib.Path(path).open("a", encoding="utf-8") as stream:
        provider = sdk.TracerProvider(
            resource=resources.Resource(
                {"service.name": me.name, "zone": me.zone}
            ),
            shutdown_on_exit=False,
        )
        exporter = LinesExporter(stream)
        provider.add_span_processor(export.SimpleSpanProcessor(exporter))
        yield Tracer(provider.get_tracer("fescueshunt"), share)
        provider.shutdown()
