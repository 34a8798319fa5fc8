"""Decodes the lines that clients send.

What a client sends is checked here once. The types of the fields of a decoded
statement then say where they may stand in other messages.
"""

from __future__ import annotations

import dataclasses

from fescueshunt import errors
from fescueshunt.core import sessions, texts
from fescueshunt_proxy.platform import lines, sizes

_VERB_BY_KEYWORD = {
    "BEGIN": sessions.Verb.BEGIN,
    "COMMIT": sessions.Verb.COMMIT,
    "ROLLBACK": sessions.Verb.ROLLBACK,
    "READ": sessions.Verb.READ,
    "WRITE": sessions.Verb.WRITE,
    "SET": sessions.Verb.SET_VALUE,
    "PREPARE": sessions.Verb.PREPARE,
    "EXECUTE": sessions.Verb.EXECUTE,
    "DEALLOC": sessions.Verb.DEALLOCATE,
}
# The verbs whose first field names something in the session.
_NAMED_VERBS = frozenset(
    {
        sessions.Verb.SET_VALUE,
        sessions.Verb.PREPARE,
        sessions.Verb.EXECUTE,
        sessions.Verb.DEALLOCATE,
    }
)


def decode_start(line: str) -> tuple[texts.Word, texts.Line]:
    """Decodes a client's request to start a session.

    Returns:
      The name of the route and the client account; the account is "" if the
      line has none.

    Raises:
      FrameError: if the line does not start a session.
    """
    keyword, _, fields_text = texts.Line(line).partition(" ")
    name, _, account = fields_text.partition(" ")
    if keyword != "START" or sizes.has_long_word((name, account)):
        raise errors.FrameError("expected the start of a session")
    return texts.Word(name), texts.Line(account)


def decode_statement(line: str) -> sessions.Statement | None:
    """Decodes a client's statement; returns None if the client disconnects.

    Raises:
      FrameError: if the line is neither a statement nor the session's end.
    """
    keyword, _, fields_text = texts.Line(line).partition(" ")
    if keyword == "TERMINATE":
        return None
    statement_id, _, text = fields_text.partition(" ")
    if keyword != "QUERY" or sizes.has_long_word((statement_id,)):
        raise errors.FrameError("expected a statement")
    statement = _parse_statement(texts.Word(statement_id), texts.Line(text))
    size = sizes.upstream_size(statement, line)
    if statement_id == lines.PROXY_STATEMENT_ID or size > sizes.MAX_LINE_BYTES:
        return dataclasses.replace(statement, verb=sessions.Verb.INVALID)
    if size + sizes.MIN_POSITION_BYTES > sizes.MAX_LINE_BYTES:
        return dataclasses.replace(statement, fits_min_position=False)
    return statement


def _parse_statement(
    statement_id: texts.Word, text: texts.Line
) -> sessions.Statement:
    keyword, _, fields_text = text.partition(" ")
    verb = _VERB_BY_KEYWORD.get(keyword, sessions.Verb.INVALID)
    name, _, argument = fields_text.partition(" ")
    writes, shape = False, ""
    read_only = False
    match verb:
        case sessions.Verb.BEGIN:
            read_only = text == "BEGIN READ"
            if text not in ("BEGIN", "BEGIN READ"):
                verb = sessions.Verb.INVALID
        case sessions.Verb.PREPARE:
            kind, _, shape = argument.partition(" ")
            writes = kind == "WRITE"
            if kind not in ("READ", "WRITE") or not shape:
                verb = sessions.Verb.INVALID
        case sessions.Verb.COMMIT | sessions.Verb.ROLLBACK:
            if text != keyword:
                verb = sessions.Verb.INVALID
        case sessions.Verb.DEALLOCATE if argument:
            verb = sessions.Verb.INVALID
        case sessions.Verb.SET_VALUE | sessions.Verb.EXECUTE if not argument:
            verb = sessions.Verb.INVALID
        case sessions.Verb.READ if not name:
            verb = sessions.Verb.INVALID
        case sessions.Verb.WRITE if not name or not argument:
            verb = sessions.Verb.INVALID
    if verb in _NAMED_VERBS and not _is_name(name):
        verb = sessions.Verb.INVALID
    return sessions.Statement(
        statement_id,
        verb,
        text,
        name,
        texts.Line(argument),
        writes,
        texts.Line(shape),
        read_only,
    )


def _is_name(text: str) -> bool:
    """Returns whether `text` can be the name of a value or of a statement."""
    try:
        return not sizes.has_long_word((texts.Word(text),))
    except errors.FrameError:
        return False
