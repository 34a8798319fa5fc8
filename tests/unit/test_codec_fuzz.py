"""The decoder against every kind of frame that isn't one."""

import cbor2
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from fescueshunt import errors
from fescueshunt.core import peer, position, request
from fescueshunt_wire import codec

REQ = request.Request(
    bytes(16),
    "pay",
    "db",
    request.Kind.WRITE,
    (
        request.Statement(
            "INSERT INTO hit VALUES (?)", (1, 2.5, "x", b"y", None)
        ),
    ),
    after=position.Position(position.Term(3, "a"), 7),
)
FRAME = codec.encode(
    (
        codec.Envelope(1, REQ),
        codec.Envelope(0, peer.ForwardedRequest(4, "u", REQ, 1.0)),
    )
)
PLAIN = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text()
    | st.binary(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.text() | st.integers() | st.binary(), inner, max_size=4
        )
    ),
    max_leaves=20,
)
TAGS = st.sampled_from(("Request", "ForwardedRequest", "Answer", "Status"))


def decode(data: bytes) -> None:
    """Decodes what may be anything; only a typed error may come of it."""
    try:
        for envelope in codec.decode(data):
            assert codec.is_message(envelope.message)
    except errors.FrameError:
        pass


@seed(1)
@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=400))
def test_any_bytes(data):
    decode(data)


@seed(2)
@settings(max_examples=300, deadline=None)
@given(PLAIN)
def test_any_cbor(value):
    decode(cbor2.dumps(value))


@seed(3)
@settings(max_examples=300, deadline=None)
@given(st.integers(), TAGS, PLAIN)
def test_any_body(seq, tag, body):
    decode(cbor2.dumps([codec.VERSION, [[seq, tag, body]]]))


@seed(4)
@settings(max_examples=300, deadline=None)
@given(st.integers(0, len(FRAME) - 1), st.integers(0, 255))
def test_one_byte_changed(place, value):
    data = bytearray(FRAME)
    data[place] = value
    decode(bytes(data))


def test_truncated():
    for size in range(len(FRAME)):
        with pytest.raises(errors.FrameError):
            codec.decode(FRAME[:size])


@pytest.mark.parametrize("seq", [True, -1, 1 << 60, "1"])
def test_seq_that_is_no_count(seq):
    with pytest.raises(errors.FrameError):
        codec.decode(cbor2.dumps([codec.VERSION, [[seq, "Request", {}]]]))


@pytest.mark.parametrize("version", [0, 2, -1, 1 << 70])
def test_unknown_version(version):
    with pytest.raises(errors.FrameVersionError):
        codec.decode(cbor2.dumps([version, []]))


@pytest.mark.parametrize("version", [True, 1.0, "1", None])
def test_version_that_is_no_number(version):
    with pytest.raises(errors.FrameError):
        codec.decode(cbor2.dumps([version, []]))


def test_bytes_after_the_end():
    with pytest.raises(errors.FrameError):
        codec.decode(FRAME + b"\x00")


def test_oversize():
    with pytest.raises(errors.FrameTooLargeError):
        codec.decode(bytes(codec.MAX_FRAME_BYTES + 1))


def test_whole_frame():
    assert [e.message for e in codec.decode(FRAME)][0] == REQ
