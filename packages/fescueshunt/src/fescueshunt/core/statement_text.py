"""Formats operators' statements as text in the operators' language."""

from __future__ import annotations

from fescueshunt.core import statements

KEYWORDS = frozenset(
    {
        "and",
        "as",
        "asc",
        "because",
        "by",
        "desc",
        "dry",
        "false",
        "floors",
        "if",
        "like",
        "limit",
        "null",
        "order",
        "run",
        "to",
        "true",
    }
)
_CONSTANTS = {True: "true", False: "false", None: "null"}


def format_statement(statement: statements.Statement) -> str:
    """Returns the text of `statement`.

    Raises:
      TypeError: if the type of the statement is unknown.
    """
    match statement:
        case statements.Show():
            return " ".join(_format_show(statement))
        case statements.Change():
            return " ".join(_format_change(statement))
        case statements.Explain(event=event, name=name):
            return f"EXPLAIN {event.value.upper()} {quote(name)}"
        case _:
            raise TypeError(type(statement).__name__)


def quote(text: str) -> str:
    """Returns `text` as a string literal, with single quotes doubled."""
    doubled = text.replace("'", "''")
    return f"'{doubled}'"


def quote_keyword(name: str) -> str:
    """Returns a column or field name, quoted if it is a keyword."""
    return quote(name) if name in KEYWORDS else name


def format_literal(value: statements.Value) -> str:
    """Returns the literal for `value`."""
    match value:
        case None | bool():
            return _CONSTANTS[value]
        case str():
            return quote(value)
        case _:
            return repr(value)


def _format_show(show: statements.Show) -> list[str]:
    words = ["SHOW", show.subject.value.upper()]
    conditions = " AND ".join(
        f"{quote_keyword(c.column)} {c.comparison.value.upper()} "
        f"{format_literal(c.value)}"
        for c in show.conditions
    )
    order = ", ".join(
        quote_keyword(o.column) + (" DESC" if o.descending else "")
        for o in show.order
    )
    if conditions:
        words.append(f"WHERE {conditions}")
    if order:
        words.append(f"ORDER BY {order}")
    if show.limit is not None:
        words.append(f"LIMIT {show.limit}")
    return words


def _format_change(change: statements.Change) -> list[str]:
    return [*format_action(change), *_format_clauses(change)]


def format_action(change: statements.Change) -> list[str]:
    """Returns the words of a change without its IF, BY, BECAUSE and DRY RUN."""
    words = [change.verb.value.upper()]
    if change.verb is statements.Verb.ROLL_FORWARD:
        return [*words, "TO", str(change.target)]
    words.append(change.kind.value.upper())
    if change.name:
        words.append(quote(change.name))
    if change.verb is statements.Verb.MOVE:
        return [*words, "TO", *(format_literal(f.value) for f in change.fields)]
    fields = [
        f"{quote_keyword(f.name)} = {format_literal(f.value)}"
        for f in change.fields
    ]
    floors = [f"{quote(n)} = {share!r}" for n, share in change.floors]
    if fields:
        words.append(", ".join(fields))
    if floors and change.kind is not statements.Kind.FLOORS:
        words.append("FLOORS")
    if floors:
        words.append(", ".join(floors))
    return words


def _format_clauses(change: statements.Change) -> list[str]:
    words = []
    if change.if_revision is not None:
        words.append(f"IF REVISION {change.if_revision}")
    if change.author:
        words.append(f"BY {quote(change.author)}")
    if change.reason:
        words.append(f"BECAUSE {quote(change.reason)}")
    if change.dry_run:
        words.append("DRY RUN")
    return words
