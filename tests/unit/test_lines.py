"""The line protocol: what is decoded, encoded, and refused."""

from __future__ import annotations

import contextlib

import hypothesis
import pytest
from hypothesis import strategies

from fescueshunt import errors
from fescueshunt.core import position, sessions
from fescueshunt_proxy.platform import lines

IDLE = sessions.TransactionState.IDLE


def _statement(text: str) -> sessions.Statement:
    return lines.decode_statement(f"QUERY id1 {text}")


def test_statements_are_decoded_with_their_text_unchanged():
    read = _statement("READ a b  c")
    assert (read.verb, read.text) == (sessions.Verb.READ, "READ a b  c")
    prepared = _statement("PREPARE s1 WRITE q2c")
    assert (prepared.name, prepared.writes, prepared.shape) == (
        "s1",
        True,
        "q2c",
    )
    assert _statement("BEGIN READ").read_only
    assert lines.decode_statement("TERMINATE") is None


@pytest.mark.parametrize(
    "text", ["", "FLY x", "READ", "PREPARE s x y", "BEGIN WRITE", "COMMIT x"]
)
def test_other_texts_are_invalid_statements(text: str):
    assert _statement(text).verb is sessions.Verb.INVALID


def test_calls_are_encoded_with_the_position_that_they_need():
    since = position.Position(position.Term(3), 1207)
    read = _statement("READ 1a4")
    assert (
        lines.encode_call(sessions.PassOn(read, since))
        == b"QUERY id1 SINCE 3.1207 READ 1a4\r\n"
    )
    run = sessions.RunPrepared(_statement("EXECUTE s1 1a4 x y"), "w.q", None)
    assert lines.encode_call(run) == b"QUERY id1 EXECUTE w.q 1a4 x y\r\n"
    begin = sessions.Begin(_statement("BEGIN READ"), since)
    assert lines.encode_call(begin) == b"QUERY id1 SINCE 3.1207 BEGIN READ\r\n"


def test_a_reply_is_whole_or_an_error():
    decoder = lines.ReplyDecoder()
    assert decoder.feed("ROW replica 3 3.1209 4 12 2 17") is None
    assert decoder.feed("COMPLETE -") is None
    reply = decoder.feed("READY I 3.1204")
    assert reply.applied == position.Position(position.Term(3), 1204)
    assert reply.status.held_term == 4
    assert reply.status.connections == 17
    with pytest.raises(errors.FrameError):
        decoder.feed("HELLO")
    with pytest.raises(errors.FrameError):
        decoder.feed("READY I x.y")


def test_a_line_that_never_ends_is_refused():
    splitter = lines.LineSplitter()
    with pytest.raises(errors.FrameTooLargeError):
        for _ in range(20):
            splitter.feed(b"x" * (1 << 17))


@hypothesis.given(strategies.lists(strategies.binary(max_size=64)))
@hypothesis.settings(derandomize=True, deadline=None)
def test_any_bytes_are_statements_or_a_typed_error(parts: list[bytes]):
    splitter = lines.LineSplitter()
    for part in parts:
        for line in splitter.feed(part):
            for decode in (lines.decode_start, lines.decode_statement):
                with contextlib.suppress(errors.FrameError):
                    decode(line)


@hypothesis.given(strategies.binary(max_size=200), strategies.data())
@hypothesis.settings(derandomize=True, deadline=None)
def test_lines_do_not_depend_on_how_bytes_arrive(
    payload: bytes, data: strategies.DataObject
):
    whole = lines.LineSplitter().feed(payload)
    cut = data.draw(strategies.integers(0, len(payload)))
    splitter = lines.LineSplitter()
    parts = splitter.feed(payload[:cut]) + splitter.feed(payload[cut:])
    assert parts == whole


@hypothesis.given(strategies.lists(strategies.text(max_size=40)))
@hypothesis.settings(derandomize=True, deadline=None)
def test_any_reply_lines_are_a_reply_or_a_typed_error(texts: list[str]):
    decoder = lines.ReplyDecoder()
    for text in texts:
        for word in ("ROW", "COMPLETE", "ERROR", "READY", ""):
            with contextlib.suppress(errors.FrameError):
                decoder.feed(f"{word} {text}")


def test_an_answer_ends_with_the_state():
    answer = sessions.SessionAnswer(("r1",), "c7", None, "", IDLE)
    assert (
        lines.encode_answer(answer) == b"ROW r1\r\nCOMPLETE c7\r\nREADY I -\r\n"
    )
    refused = sessions.SessionAnswer(failure=sessions.Failure.BUSY)
    assert lines.encode_answer(refused) == b"ERROR BUSY -\r\nREADY I -\r\n"
