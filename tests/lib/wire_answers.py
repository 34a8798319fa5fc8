"""Compares what a client of a `WireWorld` received with what it sent."""

from __future__ import annotations

import dataclasses
import itertools

from fescueshunt_standins.hosted import judge_rules, wire_reader
from lib import wire_upstreams, wire_world

LINE_END = b"\r\n"


@dataclasses.dataclass(slots=True)
class Answer:
    """One complete answer: its rows, and the error code or the receipt."""

    rows: list[str]
    error: str = ""
    receipt: str = ""


@dataclasses.dataclass(slots=True)
class Received:
    """What a client received.

    Attributes:
      welcomed: whether its session was opened.
      answers: the complete answers in order.
      last_error: the code of an error that ended the session, or "".
    """

    welcomed: bool
    answers: list[Answer]
    last_error: str = ""


def find_faults(client: wire_world.Client) -> list[str]:
    """Returns what is wrong with the answers that a client received.

    Each statement has one complete answer, or the session ended with an error.
    Each row says that what ran is what the client asked for.
    """
    if not client.received and client.has_left:
        return []
    try:
        received = _read_received(bytes(client.received), client.has_left)
    except wire_reader.WireError as exc:
        return [f"client {client.number}: unreadable answers: {exc}"]
    lines = bytes(client.sent).split(LINE_END)[:-1]
    faults = [*_check_counts(client, lines, received)]
    faults += _check_rows(lines[1:], received.answers)
    return [f"client {client.number}: {fault}" for fault in faults]


def find_broken_promises(world: wire_world.WireWorld) -> list[str]:
    """Returns the writes that were kept twice or in spite of a promise."""
    effects = world.upstreams.effects
    broken = [f"{each} kept {n} times" for each, n in effects.items() if n > 1]
    for client in world.clients:
        for line, error in statement_results(client):
            statement_id = line.split(b" ")[1].decode("latin-1")
            kept = world.upstreams.committed_by.get(statement_id)
            if kept and error in judge_rules.NO_EFFECT_CODES:
                broken.append(f"{statement_id}: {error}, though {kept} is kept")
    return broken


def statement_results(client: wire_world.Client) -> list[tuple[bytes, str]]:
    """Returns each answered line of a client with its error code, or ""."""
    received = _read_received(bytes(client.received), client.has_left)
    lines = bytes(client.sent).split(LINE_END)[1:-1]
    pairs = zip(lines, received.answers, strict=False)
    return [(line, answer.error) for line, answer in pairs]


def _read_received(data: bytes, is_cut: bool) -> Received:
    *lines, rest = data.split(LINE_END)
    if rest and not is_cut:
        raise wire_reader.WireError(f"incomplete line {rest[:80]!r}")
    messages = [wire_reader.read_answer(line + LINE_END) for line in lines]
    welcomed = bool(messages) and isinstance(messages[0], wire_reader.Ready)
    received = Received(welcomed, [])
    answer: Answer | None = None
    for message in itertools.islice(messages, int(welcomed), None):
        match message:
            case wire_reader.Row():
                answer = answer or Answer([])
                answer.rows.append(message.text)
            case wire_reader.Complete():
                answer = answer or Answer([])
                answer.receipt = message.receipt
            case wire_reader.Error():
                answer = answer or Answer([])
                answer.error = message.code
            case wire_reader.Ready():
                if answer is None:
                    raise wire_reader.WireError("READY without an answer")
                received.answers.append(answer)
                answer = None
    if answer is not None and not is_cut:
        if not answer.error or answer.rows:
            raise wire_reader.WireError("incomplete answer")
        received.last_error = answer.error
    return received


def _check_counts(
    client: wire_world.Client, lines: list[bytes], received: Received
) -> list[str]:
    if not lines:
        has_anything = received.answers or received.welcomed
        return ["answer to nothing"] if has_anything else []
    if not received.welcomed:
        if client.has_left or received.last_error:
            return []
        return ["a start without an answer"]
    statements = list(itertools.takewhile(_is_statement, lines[1:]))
    ends = len(statements) < len(lines) - 1
    has_terminated = ends and lines[1 + len(statements)] == b"TERMINATE"
    count = len(received.answers)
    if count > len(statements):
        return [f"{count} answers to {len(statements)} statements"]
    if client.has_left or received.last_error:
        return []
    faults = []
    if count < len(statements):
        faults.append(f"no answer to {statements[count][:200]!r}")
    if has_terminated and not client.was_closed:
        faults.append("open after TERMINATE")
    if ends and not has_terminated and not _ends_in_blank(lines, statements):
        faults.append("no error after a line that is no statement")
    return faults


def _is_statement(line: bytes) -> bool:
    return line.startswith(b"QUERY ")


def _ends_in_blank(lines: list[bytes], statements: list[bytes]) -> bool:
    """Returns whether the line behind the statements is TERMINATE and more.

    The protocol leaves open whether the end of a session may have fields.
    """
    return lines[1 + len(statements)].startswith(b"TERMINATE ")


def _check_rows(lines: list[bytes], answers: list[Answer]) -> list[str]:
    """Compares the rows with the statements, values and prepared names."""
    values: dict[str, str] = {}
    prepared: dict[str, wire_reader.Shape] = {}
    faults = []
    for line, answer in zip(lines, answers, strict=False):
        if answer.error:
            continue
        try:
            query = wire_reader.read_client_request(line + LINE_END)
        except wire_reader.WireError:
            # What it means is open; what follows can't be compared.
            return faults
        match query.call:
            case wire_reader.SetValue(name=name, value=value):
                values[name] = value
            case wire_reader.Prepare(name=name, shape=shape):
                prepared[name] = shape
            case wire_reader.Deallocate(name=name):
                prepared.pop(name, None)
            case wire_reader.Read() | wire_reader.Write():
                writes = isinstance(query.call, wire_reader.Write)
                shape = wire_reader.Shape(writes, "")
                faults += _check_row(query, shape, values, answer)
            case wire_reader.Execute(name=name):
                shape = prepared.get(name)
                if shape is None:
                    faults.append(f"{line[:200]!r} ran an unknown statement")
                else:
                    faults += _check_row(query, shape, values, answer)
    return faults


def _check_row(
    query: wire_reader.Query,
    shape: wire_reader.Shape,
    values: dict[str, str],
    answer: Answer,
) -> list[str]:
    arguments = query.text.split(" ", 1)[1]
    if isinstance(query.call, wire_reader.Execute):
        arguments = arguments.partition(" ")[2]
    expected = wire_upstreams.format_row(query.id, shape, arguments, values)
    if answer.rows == [expected]:
        return []
    return [f"ran {answer.rows!r}, not {expected!r}"]
