"""Completion of keywords and column names at the prompt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prompt_toolkit import completion

from fescueshunt.core import statements
from fescueshunt.observe import counters
from fescueshunt.operators import listings, promotions
from fescueshunt_cli._internal.language import parse

if TYPE_CHECKING:
    from collections.abc import Iterable

    from prompt_toolkit import document

COLUMNS_BY_SUBJECT = {
    statements.Subject.SESSIONS: ("proxy", *counters.SESSION_COLUMNS),
    statements.Subject.REFUSALS: ("proxy", *counters.REFUSAL_COLUMNS),
    statements.Subject.PROMOTIONS: ("proxy", *promotions.COLUMNS),
    **{
        subject: listing.columns
        for subject, listing in listings.LISTINGS.items()
    },
}


class Completer(completion.Completer):
    """Completes the word before the cursor, for `prompt_toolkit`."""

    def get_completions(
        self, document: document.Document, complete_event: object
    ) -> Iterable[completion.Completion]:
        """Yields the words that the grammar allows at the cursor."""
        del complete_event
        text = document.text_before_cursor
        for word in suggest(text):
            prefix = _last_word(text)
            yield completion.Completion(word, -len(prefix))


def suggest(text: str) -> list[str]:
    """Returns the words that can follow `text` or complete its last word."""
    prefix = _last_word(text)
    before = text[: len(text) - len(prefix)]
    terminals = parse.accepted_terminals(before, parse.LINE)
    words = {w for name in terminals for w in parse.keywords_of(name)}
    if "NAME" in terminals:
        words.update(_columns(before))
    return sorted(w for w in words if w.lower().startswith(prefix.lower()))


def _columns(text: str) -> tuple[str, ...]:
    """Returns the columns of a SHOW statement's subject; empty for others."""
    match text.lower().split():
        case ["show", word, *_] if word in set(statements.Subject):
            return COLUMNS_BY_SUBJECT.get(statements.Subject(word), ())
        case _:
            return ()


def _last_word(text: str) -> str:
    if not text or text[-1].isspace():
        return ""
    return text.rsplit(maxsplit=1)[-1].rsplit(",", maxsplit=1)[-1]
