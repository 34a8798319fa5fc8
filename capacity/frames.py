"""Bytes and processor time of frames and of the settings document."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from capacity import declared, driven, slopes
from capacity.decisions import KB, MS, US, allocated, timed
from fescueshunt.core import (
    membership,
    peer,
    position,
    request,
    settings_sync,
    upstream,
)
from fescueshunt_wire import codec, platform

if TYPE_CHECKING:
    from collections.abc import Iterator


RUMORS = 6


class Messages(slopes.Measure):
    """A message within a frame: bytes, encoding and decoding."""

    name = "messages"
    per = "message"
    sizes = (1, 16, 64, 256)

    def take(self, size: int) -> Iterator[slopes.Reading]:
        """Yields the costs of a frame of `size` messages."""
        for title, message in _messages():
            batch = [codec.Envelope(n, message) for n in range(size)]
            data = codec.encode(batch)
            yield slopes.Reading(f"{title}, bytes", "B", size, len(data))
            spent_s = timed(lambda batch=batch: codec.encode(batch))
            yield slopes.Reading(f"{title}, encode", "us", size, spent_s * US)
            spent_s = timed(lambda data=data: codec.decode(data))
            yield slopes.Reading(f"{title}, decode", "us", size, spent_s * US)


class HostLists(slopes.Measure):
    """The platform's host list, which a proxy reads again and again."""

    name = "host-list"
    per = "host"
    sizes = (250, 500, 1000, 2000)

    def take(self, size: int) -> Iterator[slopes.Reading]:
        """Yields the costs of a host list of `size` proxies."""
        entries = tuple(
            platform.HostEntry(h.name, h.zone, h.address)
            for h in declared.hosts(size)
        )
        data = codec.encode((codec.Envelope(1, platform.HostList(entries)),))
        yield slopes.Reading("host list, bytes", "B", size, len(data))
        spent_s = timed(lambda: codec.decode(data))
        yield slopes.Reading("host list, decode", "us", size, spent_s * US)


class Documents(slopes.Measure):
    """The settings document: bytes, encoding, decoding and memory."""

    name = "document"
    per = "database"
    sizes = (500, 1000, 2000, 4000)

    def take(self, size: int) -> Iterator[slopes.Reading]:
        """Yields the costs of a document of `size` databases."""
        settings = declared.declare(size)
        data = codec.encode_document(settings)
        yield slopes.Reading("document, bytes", "B", size, len(data))
        spent_s = timed(lambda: codec.encode_document(settings))
        yield slopes.Reading("document, encode", "ms", size, spent_s * MS)
        spent_s = timed(lambda: codec.decode_document(data))
        yield slopes.Reading("document, decode", "ms", size, spent_s * MS)
        kept = allocated(lambda: codec.decode_document(data))
        yield slopes.Reading("document, memory", "KB", size, kept / KB)


def _messages() -> Iterator[tuple[str, Any]]:
    req = driven.make_request(declared.READ, "renew-00001", 1)
    place = position.Position(position.FIRST_TERM, driven.HISTORY.end)
    answer = request.Answer(
        req.request_id, (declared.ROWS,), place, "renew-00001-a"
    )
    yield "request", req
    yield "answer", answer
    yield (
        "forwarded request",
        peer.ForwardedRequest(1, "renew-00001-a", req, 5.0),
    )
    yield "forwarded answer", peer.ForwardedAnswer(1, answer)
    yield (
        "execute",
        upstream.Execute(
            upstream.Mode.READ, position.FIRST_TERM, req.statements
        ),
    )
    yield (
        "executed",
        upstream.Executed(
            (declared.ROWS,), driven.HISTORY, position.FIRST_TERM
        ),
    )
    yield (
        "read status",
        upstream.ReadStatus(driven.HISTORY, position.FIRST_TERM, 0.2),
    )
    yield (
        "status",
        upstream.Status(
            "renew-00001-a",
            upstream.Role.PRIMARY,
            position.FIRST_TERM,
            position.FIRST_TERM,
            driven.HISTORY,
            "10.0.0.1:5432",
        ),
    )
    members = tuple(driven.member(h) for h in declared.hosts(RUMORS))
    digest = b"01234567"
    yield "ping", membership.Ping(1, members[1].name, members[0], digest)
    yield (
        "ping with 6 rumors",
        membership.Ping(1, members[1].name, members[0], digest, members),
    )
    yield "ack", membership.Ack(1, members[0], digest)
    yield "settings digest", settings_sync.SettingsDigest(1_000_000)


ALL = (Messages, HostLists, Documents)
