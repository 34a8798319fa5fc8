"""Tracing: a span for each hop of a request, written as JSON lines.

The trace id is the request id, so the spans of all processes that handle a
request belong to the same trace.
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
SAMPLING_STEPS = 1 << 16


class JsonLinesExporter(export.SpanExporter):
    """Writes each span as a line of JSON, in the thread that ends the span."""

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream

    def export(
        self, spans: Sequence[sdk.ReadableSpan]
    ) -> export.SpanExportResult:
        """Writes `spans` and flushes the stream."""
        for span in spans:
            self._stream.write(span.to_json(indent=None) + "\n")
        self._stream.flush()
        return export.SpanExportResult.SUCCESS


class Tracer:
    """Starts and ends spans as the items of requests enter and leave the core.

    A request has an `entry` span in the proxy that its caller connects to, a
    `home` span in the proxy that it is forwarded to, and an `upstream` span for
    each call to an upstream.
    """

    def __init__(self, tracer: trace.Tracer, sampled_share: float) -> None:
        self._tracer = tracer
        self._sampled_share = sampled_share
        self._open_spans: dict[tuple[str, object], trace.Span] = {}
        self._request_spans: dict[bytes, trace.Span] = {}

    def observe_item(self, item: filters.Item) -> None:
        """Starts or ends the span of an item that enters the core."""
        match item:
            case items.CallerRequest():
                key = ("entry", (item.conn, item.seq))
                self._start_span(key, item.req.request_id, b"")
            case items.PeerReceived(message=peer.ForwardedRequest() as message):
                key = ("home", (item.sender, message.seq))
                request_id = message.request.request_id
                self._start_span(key, request_id, message.span)
            case items.UpstreamReplied() | items.UpstreamFailed():
                self._end_span(("upstream", item.conn), type(item).__name__)

    def end_entry_span(self, item: items.AnswerCaller) -> None:
        """Ends the `entry` span of a request that is answered."""
        key = ("entry", (item.conn, item.seq))
        self._request_spans.pop(item.answer.request_id, None)
        self._end_span(key, item.answer.outcome.value)

    def end_home_span(self, item: items.SendPeer) -> None:
        """Ends the `home` span of a request that is answered or redirected."""
        match item.message:
            case peer.ForwardedAnswer(seq=seq, answer=answer):
                key = ("home", (item.name, seq))
                self._request_spans.pop(answer.request_id, None)
                self._end_span(key, answer.outcome.value)
            case peer.Redirected(seq=seq):
                self._end_span(("home", (item.name, seq)), "redirected")

    def start_upstream_span(self, item: items.RunUpstream) -> None:
        """Starts the `upstream` span of a call."""
        self._start_span(("upstream", item.conn), item.request_id, b"")

    def span_id_for(self, request_id: bytes) -> bytes:
        """Returns the id of the request's open `entry` or `home` span.

        Returns an empty string if there is none.
        """
        span = self._request_spans.get(request_id)
        if span is None:
            return b""
        return span.get_span_context().span_id.to_bytes(ID_BYTES, "big")

    def _start_span(
        self, key: tuple[str, object], request_id: bytes, parent_id: bytes
    ) -> None:
        if not request_id or not self._is_sampled(request_id):
            return
        parent_id = (
            parent_id or self.span_id_for(request_id) or request_id[-ID_BYTES:]
        )
        parent_span_context = trace.SpanContext(
            int.from_bytes(request_id, "big"),
            int.from_bytes(parent_id, "big"),
            is_remote=True,
            trace_flags=trace.TraceFlags(trace.TraceFlags.SAMPLED),
        )
        parent_context = trace.set_span_in_context(
            trace.NonRecordingSpan(parent_span_context)
        )
        span = self._tracer.start_span(key[0], context=parent_context)
        self._open_spans[key] = span
        if key[0] != "upstream":
            self._request_spans[request_id] = span

    def _is_sampled(self, request_id: bytes) -> bool:
        random_bits = int.from_bytes(request_id[-2:], "big")
        return random_bits < self._sampled_share * SAMPLING_STEPS

    def _end_span(self, key: tuple[str, object], outcome: str) -> None:
        span = self._open_spans.pop(key, None)
        if span is not None:
            span.set_attribute("outcome", outcome)
            span.end()


@contextlib.contextmanager
def tracing_to_file(
    path: str, sampled_share: float, local_proxy: identity.Identity
) -> Iterator[Tracer | None]:
    """Yields a tracer that appends spans to the file at `path`.

    Yields None if `path` is empty. `sampled_share` is the share of requests
    that are traced, from 0 to 1.
    """
    if not path:
        yield None
        return
    with pathlib.Path(path).open("a", encoding="utf-8") as stream:
        provider = sdk.TracerProvider(
            resource=resources.Resource(
                {"service.name": local_proxy.name, "zone": local_proxy.zone}
            ),
            shutdown_on_exit=False,
        )
        exporter = JsonLinesExporter(stream)
        provider.add_span_processor(export.SimpleSpanProcessor(exporter))
        yield Tracer(provider.get_tracer("fescueshunt"), sampled_share)
        provider.shutdown()
