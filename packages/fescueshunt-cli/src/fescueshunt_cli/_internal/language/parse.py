"""Parses the operators' language and reports syntax errors by position."""

from __future__ import annotations

import dataclasses
import enum
import functools
import importlib.resources
from typing import TYPE_CHECKING, Any

import lark

from fescueshunt import errors
from fescueshunt.core import statements

if TYPE_CHECKING:
    from collections.abc import Iterable

LINE = "line"
SCRIPT = "script"
MAX_EXPECTED_WORDS = 16

_TERMINAL_DESCRIPTIONS = {
    "NAME": "a name",
    "STRING": "a 'string'",
    "COUNT": "a whole number",
    "INT": "a whole number",
    "FLOAT": "a number",
    "DATE": "a date",
    "HEX": "a request id",
    "COMPARISON": "a comparison",
    "$END": "the end",
    "SEMICOLON": "';'",
    "COMMA": "','",
    "EQUAL": "'='",
}


class Format(enum.StrEnum):
    """The output format of an answer."""

    TABLE = "table"
    JSON = "json"
    CSV = "csv"


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedStatement:
    """A statement and the output format of its answer."""

    statement: statements.Statement
    format: Format = Format.TABLE


def parse_line(text: str) -> ParsedStatement:
    """Parses `text`, which must contain exactly one statement.

    Raises:
      StatementSyntaxError: with the position of the error and the words that
        would be valid there.
    """
    return _parse(text, LINE)


def parse_script(text: str) -> list[ParsedStatement]:
    """Parses the statements in `text`, each ended by a semicolon.

    Raises:
      StatementSyntaxError: with the position of the error and the words that
        would be valid there.
    """
    return _parse(text, SCRIPT)


@functools.cache
def parser() -> lark.Lark:
    """Returns the parser, which is built from the grammar on first use."""
    folder = importlib.resources.files("fescueshunt_cli._internal.language")
    grammar = (folder / "grammar.lark").read_text(encoding="utf-8")
    return lark.Lark(
        grammar, parser="lalr", start=[LINE, SCRIPT], propagate_positions=True
    )


def accepted_terminals(text: str, start: str) -> set[str]:
    """Returns the terminals that can follow `text`.

    Args:
      text: the beginning of a statement or script.
      start: the start rule, LINE or SCRIPT.

    Returns:
      The names of the terminals; empty if `text` has a syntax error.
    """
    try:
        state = parser().parse_interactive(text, start=start)
        state.exhaust_lexer()
    except lark.UnexpectedInput:
        return set()
    return state.accepts()


def describe_terminals(terminals: Iterable[str]) -> list[str]:
    """Returns the keywords or descriptions of `terminals`, sorted."""
    words: set[str] = set()
    for name in terminals:
        words.update(
            keywords_of(name) or [_TERMINAL_DESCRIPTIONS.get(name, name)]
        )
    return sorted(words)


def keywords_of(terminal: str) -> list[str]:
    """Returns the keywords that a terminal matches.

    The result is empty if the terminal matches no fixed words.
    """
    if terminal in _TERMINAL_DESCRIPTIONS or terminal == "$END":
        return []
    pattern = parser().get_terminal(terminal).pattern
    words = pattern.value.removesuffix(r"\b").strip("()").split("|")
    return [word.upper() for word in words if word.isalpha()]


def _parse(text: str, start: str) -> Any:
    try:
        tree = parser().parse(text, start=start)
        return _Builder().transform(tree)
    except lark.exceptions.VisitError as exc:
        raise exc.orig_exc from exc
    except lark.UnexpectedInput as exc:
        detail = _format_syntax_error(text, start, exc)
        raise errors.StatementSyntaxError(detail) from exc


def _format_syntax_error(
    text: str, start: str, exc: lark.UnexpectedInput
) -> str:
    """Returns the line, a caret below the error, and the expected words."""
    index = _error_index(text, exc)
    before = text[:index]
    words = describe_terminals(accepted_terminals(before, start))
    listed = ", ".join(words[:MAX_EXPECTED_WORDS])
    more = " and others" if len(words) > MAX_EXPECTED_WORDS else ""
    row = before.count("\n") + 1
    column = index - (before.rfind("\n") + 1)
    line = text.split("\n")[row - 1]
    caret = " " * column + "^"
    return (
        f"line {row}, column {column + 1}\n{line}\n"
        f"{caret} expected {listed}{more}"
    )


def _error_index(text: str, exc: lark.UnexpectedInput) -> int:
    """Returns the index in `text` of the first word that is invalid."""
    is_end = isinstance(exc, lark.UnexpectedToken) and exc.token.type == "$END"
    return len(text.rstrip()) if is_end else exc.pos_in_stream


class _Builder(lark.Transformer):
    """Builds statements from the parse tree, bottom-up.

    Each method has the name of the grammar rule or alias that it handles.
    """

    def line(self, parts: list[Any]) -> ParsedStatement:
        return parts[0]

    def script(self, parts: list[Any]) -> list[ParsedStatement]:
        return parts

    def statement(self, parts: list[Any]) -> ParsedStatement:
        return ParsedStatement(*parts)

    def output(self, parts: list[Any]) -> Format:
        return Format(parts[0].lower())

    # Queries.

    def show(self, parts: list[Any]) -> statements.Show:
        subject, *clauses = parts
        return statements.Show(subject, **dict(clauses))

    def subject(self, parts: list[Any]) -> statements.Subject:
        return statements.Subject(parts[-1].lower())

    def where(self, parts: list[Any]) -> tuple[str, Any]:
        return "conditions", tuple(parts)

    def condition(self, parts: list[Any]) -> statements.Condition:
        column, comparison, value = parts
        operator = statements.Comparison(comparison.lower())
        return statements.Condition(column, operator, value)

    def order(self, parts: list[Any]) -> tuple[str, Any]:
        return "order", tuple(parts)

    def key(self, parts: list[Any]) -> statements.Order:
        column, *direction = parts
        descending = bool(direction) and direction[0].lower() == "desc"
        return statements.Order(column, descending)

    def limit(self, parts: list[Any]) -> tuple[str, Any]:
        return "limit", int(parts[0])

    def explain(self, parts: list[Any]) -> statements.Explain:
        event, name = parts
        return statements.Explain(statements.Event(event.lower()), name)

    # Changes.

    def change(self, parts: list[Any]) -> statements.Change:
        action, *clauses = parts
        return dataclasses.replace(action, **dict(clauses))

    def create(self, parts: list[Any]) -> statements.Change:
        return _make_change(statements.Verb.CREATE, *parts)

    def set(self, parts: list[Any]) -> statements.Change:
        return _make_change(statements.Verb.SET, *parts)

    def set_floors(self, parts: list[Any]) -> statements.Change:
        return statements.Change(
            statements.Verb.SET, statements.Kind.FLOORS, floors=parts[0]
        )

    def drop(self, parts: list[Any]) -> statements.Change:
        return _make_change(statements.Verb.DROP, *parts)

    def declare(self, parts: list[Any]) -> statements.Change:
        return _make_change(statements.Verb.DECLARE, *parts)

    def state(self, parts: list[Any]) -> statements.Change:
        verb, *arguments = parts
        return _make_change(statements.Verb(verb.lower()), *arguments)

    def move(self, parts: list[Any]) -> statements.Change:
        kind, name, date = parts
        fields = (statements.Field("date", date),)
        return _make_change(statements.Verb.MOVE, kind, name, fields)

    def drain(self, parts: list[Any]) -> statements.Change:
        verb, *arguments = parts
        return _make_change(statements.Verb(verb.lower()), *arguments)

    def roll_forward(self, parts: list[Any]) -> statements.Change:
        return statements.Change(
            statements.Verb.ROLL_FORWARD,
            statements.Kind.SETTINGS,
            target=int(parts[0]),
        )

    def fields(self, parts: list[Any]) -> tuple[statements.Field, ...]:
        return tuple(parts)

    def field(self, parts: list[Any]) -> statements.Field:
        return statements.Field(*parts)

    def floors(self, parts: list[Any]) -> Any:
        return parts[0]

    def shares(self, parts: list[Any]) -> tuple[tuple[str, float], ...]:
        return tuple(parts)

    def share(self, parts: list[Any]) -> tuple[str, float]:
        return parts[0], parts[1]

    def if_revision(self, parts: list[Any]) -> tuple[str, Any]:
        return "if_revision", int(parts[0])

    def author(self, parts: list[Any]) -> tuple[str, Any]:
        return "author", parts[0]

    def reason(self, parts: list[Any]) -> tuple[str, Any]:
        return "reason", _unquote(parts[0])

    def dry_run(self, _: list[Any]) -> tuple[str, Any]:
        return "dry_run", True

    # Names and literals.

    def column(self, parts: list[Any]) -> str:
        return _unquote(parts[0]).lower()

    def name(self, parts: list[Any]) -> str:
        return _unquote(parts[0])

    identifier = name
    date = name
    text = name

    def number(self, parts: list[Any]) -> float:
        return float(parts[0])

    def integer(self, parts: list[Any]) -> int:
        return int(parts[0])

    def real(self, parts: list[Any]) -> float:
        return float(parts[0])

    def true(self, _: list[Any]) -> bool:
        return True

    def false(self, _: list[Any]) -> bool:
        return False

    def null(self, _: list[Any]) -> None:
        return None


def _make_change(
    verb: statements.Verb,
    kind: str,
    name: str,
    fields: tuple[statements.Field, ...] = (),
    floors: tuple[tuple[str, float], ...] = (),
) -> statements.Change:
    return statements.Change(
        verb, statements.Kind(kind.lower()), name, fields, floors
    )


def _unquote(token: str) -> str:
    text = str(token)
    if text.startswith("'"):
        return text[1:-1].replace("''", "'")
    return text
