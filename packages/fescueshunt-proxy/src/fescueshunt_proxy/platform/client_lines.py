"""Decodes the lines that clients send.

What a client sends is checked here once. The types of the fields of a decoded
statement then say where they may stand in other messages.
"""

from __future__ import annotations

import dataclasses

from fescueshunt import errors
from fescueshunt.core import accounts, sessions, texts
from fescueshunt_proxy.platform import lines, sizes

_BEGIN = "BEGIN"
_BEGIN_READ_ONLY = "BEGIN READ"
_READ = "READ"
_WRITE = "WRITE"

_VERB_BY_KEYWORD = {
    _BEGIN: sessions.Verb.BEGIN,
    "COMMIT": sessions.Verb.COMMIT,
    "ROLLBACK": sessions.Verb.ROLLBACK,
    _READ: sessions.Verb.READ,
    _WRITE: sessions.Verb.WRITE,
    "SET": sessions.Verb.SET_VALUE,
    "PREPARE": sessions.Verb.PREPARE,
    "EXECUTE": sessions.Verb.EXECUTE,
    "DEALLOC": sessions.Verb.DEALLOCATE,
}


def decode_start(line: str) -> tuple[texts.Word, accounts.KeyDigest]:
    """Decodes a client's request to start a session.

    Returns:
      The name of the route and the digest of the client's key.

    Raises:
      FrameError: if the line does not start a session.
    """
    keyword, fields_text = texts.Line(line).split_word()
    name, key = fields_text.split_word()
    if keyword != "START" or (
        sizes.is_too_long(name) or sizes.is_too_long(key)
    ):
        raise errors.FrameError("expected the start of a session")
    return texts.Word(name), accounts.digest_key(key)


def decode_statement(line: str) -> sessions.Statement | None:
    """Decodes a client's statement; returns None if the client disconnects.

    Raises:
      FrameError: if the line is neither a statement nor the session's end.
    """
    keyword, fields_text = texts.Line(line).split_word()
    if keyword == "TERMINATE":
        return None
    statement_id, text = fields_text.split_word()
    if keyword != "QUERY" or sizes.is_too_long(statement_id):
        raise errors.FrameError("expected a statement")
    statement = _parse_statement(texts.Word(statement_id), text)
    if statement_id == lines.PROXY_STATEMENT_ID:
        return dataclasses.replace(statement, verb=sessions.Verb.INVALID)
    if len(line) < sizes.MIN_CHECKED_CHARS:
        return statement
    size = sizes.upstream_size(statement, line)
    if size > sizes.MAX_LINE_BYTES:
        return dataclasses.replace(statement, verb=sessions.Verb.INVALID)
    if size + sizes.MIN_POSITION_BYTES > sizes.MAX_LINE_BYTES:
        return dataclasses.replace(statement, fits_min_position=False)
    return statement


def _parse_statement(
    statement_id: texts.Word, text: texts.Line
) -> sessions.Statement:
    keyword, fields_text = text.split_word()
    name, argument = fields_text.split_word()
    verb = _VERB_BY_KEYWORD.get(keyword, sessions.Verb.INVALID)
    if not _is_well_formed(verb, text, name, argument):
        verb = sessions.Verb.INVALID
    kind, shape = argument.split_word()
    prepares = verb is sessions.Verb.PREPARE
    return sessions.Statement(
        statement_id,
        verb,
        text,
        name=name,
        argument=argument,
        writes=prepares and kind == _WRITE,
        shape=shape if prepares else texts.EMPTY,
        read_only=text == _BEGIN_READ_ONLY,
    )


def _is_well_formed(
    verb: sessions.Verb, text: str, name: str, argument: str
) -> bool:
    """Returns whether a statement has the fields of its verb, and no others."""
    match verb:
        case sessions.Verb.BEGIN:
            return text in (_BEGIN, _BEGIN_READ_ONLY)
        case sessions.Verb.COMMIT | sessions.Verb.ROLLBACK:
            return text in _VERB_BY_KEYWORD
        case sessions.Verb.READ:
            return bool(name)
        case sessions.Verb.WRITE:
            return bool(name and argument)
        case sessions.Verb.SET_VALUE:
            return _is_name(name) and bool(argument)
        case sessions.Verb.EXECUTE:
            return _is_name(name) and bool(argument.partition(" ")[0])
        case sessions.Verb.PREPARE:
            kind, _, shape = argument.partition(" ")
            return _is_name(name) and kind in (_READ, _WRITE) and bool(shape)
        case sessions.Verb.DEALLOCATE:
            return _is_name(name) and not argument
    return False


def _is_name(text: str) -> bool:
    """Returns whether `text` can be the name of a value or of a statement."""
    try:
        return not sizes.is_too_long(texts.Word(text))
    except errors.FrameError:
        return False
