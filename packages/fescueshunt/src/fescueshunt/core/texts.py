"""Types of the texts that are put into messages of other programs.

A text that came from one program must not change how another one reads the
message that carries it. Each type accepts only what can stand at its place, so
that an encoder that makes each field one can't build a message with others.
"""

from __future__ import annotations

import re

from fescueshunt import errors

# Neither white space of any kind nor control characters, which some readers
# take for the end of a field.
_WORD = re.compile(r"[^\s\x00-\x20\x7f]+")
_CONTROL_CHARACTER = re.compile(r"[\x00-\x1f\x7f]")


class Word(str):
    """A field of a message that is followed by others; it has no blanks.

    Raises:
      FrameError: if the text is empty, or has blanks or control characters.
    """

    __slots__ = ()

    def __new__(cls, text: str) -> Word:
        """Returns `text` as a word."""
        if type(text) is cls:
            return text
        if not _WORD.fullmatch(text):
            raise errors.FrameError("expected a word")
        return super().__new__(cls, text)


class Line(str):
    """A text without line breaks: a line, or the last field of one.

    Raises:
      FrameError: if the text has a character that may end a line.
    """

    __slots__ = ()

    def __new__(cls, text: str) -> Line:
        """Returns `text` as a line."""
        if type(text) is cls:
            return text
        if "\r" in text or "\n" in text or "\0" in text:
            raise errors.FrameError("unexpected line break")
        return super().__new__(cls, text)

    def split_word(self) -> tuple[str, Line]:
        """Returns the text before the first blank, and what follows the blank.

        What follows has no line break either, so it isn't checked again.
        """
        word, _, rest = self.partition(" ")
        return word, str.__new__(Line, rest)


EMPTY = Line("")


def shorten(text: str, max_chars: int) -> Line:
    """Returns the first `max_chars` characters of `text`, for descriptions.

    Each control character is replaced by a question mark.
    """
    return Line(_CONTROL_CHARACTER.sub("?", text[:max_chars]))
