"""Size, processor time and memory of encoding and decoding messages."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from capacity import declared, driven, slopes
from capacity.decisions import (
    BYTES_PER_KB,
    MS_PER_S,
    US_PER_S,
    measure_cpu_s,
    measure_retained_bytes,
)
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


RUMOR_COUNT = 6


class MessageCost(slopes.Measurement):
    """The cost of one more message in a frame: bytes and processor time."""

    name = "messages"
    per = "message"
    sizes = (1, 16, 64, 256)

    def measure_at(self, size: int) -> Iterator[slopes.Reading]:
        """Yields the costs of a frame of `size` messages of each kind."""
        for label, message in _example_messages():
            batch = [codec.Envelope(n, message) for n in range(size)]
            encoded = codec.encode(batch)
            yield slopes.Reading(f"{label}, bytes", "B", size, len(encoded))
            cpu_s = measure_cpu_s(lambda batch=batch: codec.encode(batch))
            yield slopes.Reading(
                f"{label}, encode", "us", size, cpu_s * US_PER_S
            )
            cpu_s = measure_cpu_s(lambda encoded=encoded: codec.decode(encoded))
            yield slopes.Reading(
                f"{label}, decode", "us", size, cpu_s * US_PER_S
            )


class HostListCost(slopes.Measurement):
    """The cost of one more host in the host list that proxies poll."""

    name = "host-list"
    per = "host"
    sizes = (250, 500, 1000, 2000)

    def measure_at(self, size: int) -> Iterator[slopes.Reading]:
        """Yields the costs of a host list of `size` proxies."""
        entries = tuple(
            platform.HostEntry(h.name, h.zone, h.address)
            for h in declared.make_host_list(size)
        )
        encoded = codec.encode((codec.Envelope(1, platform.HostList(entries)),))
        yield slopes.Reading("host list, bytes", "B", size, len(encoded))
        cpu_s = measure_cpu_s(lambda: codec.decode(encoded))
        yield slopes.Reading("host list, decode", "us", size, cpu_s * US_PER_S)


class DocumentCost(slopes.Measurement):
    """The cost of one more database in the settings document."""

    name = "document"
    per = "database"
    sizes = (500, 1000, 2000, 4000)

    def measure_at(self, size: int) -> Iterator[slopes.Reading]:
        """Yields the bytes, processor time and memory of `size` databases."""
        settings = declared.make_settings(size)
        encoded = codec.encode_document(settings)
        yield slopes.Reading("document, bytes", "B", size, len(encoded))
        cpu_s = measure_cpu_s(lambda: codec.encode_document(settings))
        yield slopes.Reading("document, encode", "ms", size, cpu_s * MS_PER_S)
        cpu_s = measure_cpu_s(lambda: codec.decode_document(encoded))
        yield slopes.Reading("document, decode", "ms", size, cpu_s * MS_PER_S)
        retained_bytes = measure_retained_bytes(
            lambda: codec.decode_document(encoded)
        )
        yield slopes.Reading(
            "document, memory", "KB", size, retained_bytes / BYTES_PER_KB
        )


def _example_messages() -> Iterator[tuple[str, Any]]:
    req = driven.make_request(declared.READ_SERVICE, "renew-00001", 1)
    commit_position = position.Position(
        position.FIRST_TERM, driven.INITIAL_HISTORY.end
    )
    answer = request.Answer(
        req.request_id, (declared.RESULT_SET,), commit_position, "renew-00001-a"
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
            (declared.RESULT_SET,),
            driven.INITIAL_HISTORY,
            position.FIRST_TERM,
        ),
    )
    yield (
        "read status",
        upstream.ReadStatus(driven.INITIAL_HISTORY, position.FIRST_TERM, 0.2),
    )
    yield (
        "status",
        upstream.Status(
            "renew-00001-a",
            upstream.Role.PRIMARY,
            position.FIRST_TERM,
            position.FIRST_TERM,
            driven.INITIAL_HISTORY,
            "10.0.0.1:5432",
        ),
    )
    members = tuple(
        driven.make_member(h) for h in declared.make_host_list(RUMOR_COUNT)
    )
    digest = b"01234567"
    yield "ping", membership.Ping(1, members[1].name, members[0], digest)
    yield (
        "ping with 6 rumors",
        membership.Ping(1, members[1].name, members[0], digest, members),
    )
    yield "ack", membership.Ack(1, members[0], digest)
    yield "settings digest", settings_sync.SettingsDigest(1_000_000)


ALL = (MessageCost, HostListCost, DocumentCost)
