"""Fuzz tests of the frame decoder with malformed and random input."""

import cbor2
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from fescueshunt import errors
from fescueshunt.core import peer, position, request
from fescueshunt_wire import codec

REQUEST = request.Request(
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
        codec.Envelope(1, REQUEST),
        codec.Envelope(0, peer.ForwardedRequest(4, "u", REQUEST, 1.0)),
    )
)
CBOR_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text()
    | st.binary(),
    lambda children: (
        st.lists(children, max_size=4)
        | st.dictionaries(
            st.text() | st.integers() | st.binary(), children, max_size=4
        )
    ),
    max_leaves=20,
)
TAGS = st.sampled_from(("Request", "ForwardedRequest", "Answer", "Status"))


def decode_or_reject(data: bytes) -> None:
    """Decodes `data`, which must yield messages or raise a FrameError."""
    try:
        for envelope in codec.decode(data):
            assert codec.is_message(envelope.message)
    except errors.FrameError:
        pass


@seed(1)
@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=400))
def test_random_bytes(data):
    decode_or_reject(data)


@seed(2)
@settings(max_examples=300, deadline=None)
@given(CBOR_VALUES)
def test_random_cbor_value(value):
    decode_or_reject(cbor2.dumps(value))


@seed(3)
@settings(max_examples=300, deadline=None)
@given(st.integers(), TAGS, CBOR_VALUES)
def test_random_message_body(seq, tag, body):
    decode_or_reject(cbor2.dumps([codec.VERSION, [[seq, tag, body]]]))


@seed(4)
@settings(max_examples=300, deadline=None)
@given(st.integers(0, len(FRAME) - 1), st.integers(0, 255))
def test_one_byte_changed(index, value):
    data = bytearray(FRAME)
    data[index] = value
    decode_or_reject(bytes(data))


def test_truncated_frame():
    for size in range(len(FRAME)):
        with pytest.raises(errors.FrameError):
            codec.decode(FRAME[:size])


@pytest.mark.parametrize("seq", [True, -1, 1 << 60, "1"])
def test_invalid_sequence_number(seq):
    with pytest.raises(errors.FrameError):
        codec.decode(cbor2.dumps([codec.VERSION, [[seq, "Request", {}]]]))


@pytest.mark.parametrize("version", [0, 2, -1, 1 << 70])
def test_unsupported_version(version):
    with pytest.raises(errors.FrameVersionError):
        codec.decode(cbor2.dumps([version, []]))


@pytest.mark.parametrize("version", [True, 1.0, "1", None])
def test_version_that_is_not_an_integer(version):
    with pytest.raises(errors.FrameError):
        codec.decode(cbor2.dumps([version, []]))


def test_bytes_after_the_end_of_the_frame():
    with pytest.raises(errors.FrameError):
        codec.decode(FRAME + b"\x00")


def test_frame_over_the_maximum_size():
    with pytest.raises(errors.FrameTooLargeError):
        codec.decode(bytes(codec.MAX_FRAME_BYTES + 1))


def test_valid_frame():
    assert [e.message for e in codec.decode(FRAME)][0] == REQUEST
