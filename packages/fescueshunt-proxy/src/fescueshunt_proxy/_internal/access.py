"""Operators' tokens: one INI file, a section [operator NAME] for each.

A section has `role` (read or change) and either `token` or `token_sha256`, the
hex digest of the token. Only digests are kept in memory.
"""

from __future__ import annotations

import dataclasses
import enum
import hashlib
import hmac
import pathlib
from typing import Annotated

import pydantic

from fescueshunt import errors
from fescueshunt_wire import ini, sections

KIND = "operator"
MIN_TOKEN_CHARS = 16
MAX_TOKEN_CHARS = 512
DIGEST_PATTERN = r"^[0-9a-f]{64}$"


class Role(enum.StrEnum):
    """What an operator may do."""

    READ = "read"
    CHANGE = "change"


class OperatorSettings(pydantic.BaseModel):
    """One operator.

    Attributes:
      role: `read` may ask, `change` may also change settings.
      token: the operator's secret, 16 to 512 characters.
      token_sha256: its SHA-256 digest, in place of the token.
    """

    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, hide_input_in_errors=True
    )
    role: Role
    token: Annotated[
        pydantic.SecretStr | None,
        pydantic.Field(min_length=MIN_TOKEN_CHARS, max_length=MAX_TOKEN_CHARS),
    ] = None
    token_sha256: Annotated[
        str | None, pydantic.Field(pattern=DIGEST_PATTERN)
    ] = None

    @pydantic.model_validator(mode="after")
    def _check_one(self) -> OperatorSettings:
        if (self.token is None) == (self.token_sha256 is None):
            raise ValueError("expected either token or token_sha256")
        return self


@dataclasses.dataclass(frozen=True, slots=True)
class Operator:
    """An operator and the digest of its token."""

    name: str
    role: Role
    digest: bytes = dataclasses.field(repr=False)

    @property
    def may_change(self) -> bool:
        """Whether the operator may change settings."""
        return self.role is Role.CHANGE


class Tokens:
    """The operators of one file."""

    def __init__(self, operators: tuple[Operator, ...]) -> None:
        self._operators = operators

    def find(self, token: str) -> Operator:
        """Returns the operator of `token`.

        Every operator's digest is compared in constant time, so that the time
        taken tells nothing about the tokens.

        Raises:
          AccessDeniedError: if no operator has this token.
        """
        digest = _digest(token)
        found = None
        for operator in self._operators:
            if hmac.compare_digest(operator.digest, digest):
                found = operator
        if found is None:
            raise errors.AccessDeniedError("the token is not known")
        return found


def load(path: str) -> Tokens:
    """Returns the operators in the file at `path`; none for an empty path.

    Raises:
      InvalidSettingsError: with every invalid setting at once.
    """
    if not path:
        return Tokens(())
    operators: list[Operator] = []
    problems: list[errors.SettingProblem] = []
    for header, values in _sections(path).items():
        kind, _, name = header.partition(" ")
        if kind != KIND or not name:
            expected = f"expected [{KIND} NAME]"
            problems.append(
                errors.SettingProblem(path, header, "", "", expected)
            )
            continue
        cfg, invalid = ini.validate(OperatorSettings, path, header, values)
        problems.extend(_hide(problem) for problem in invalid)
        if cfg is not None:
            operators.append(Operator(name, cfg.role, _digest_of(cfg)))
    if problems:
        raise errors.InvalidSettingsError(problems)
    return Tokens(tuple(operators))


def _sections(path: str) -> dict[str, sections.Section]:
    try:
        return sections.read_sections(pathlib.Path(path))
    except errors.InvalidSettingsError:
        problem = errors.SettingProblem(
            path, "", "", "(hidden)", "expected an INI file"
        )
    raise errors.InvalidSettingsError([problem])


def _hide(problem: errors.SettingProblem) -> errors.SettingProblem:
    """Returns the problem without the value, which may be a secret."""
    return dataclasses.replace(problem, value="(hidden)")


def _digest_of(cfg: OperatorSettings) -> bytes:
    if cfg.token_sha256 is not None:
        return bytes.fromhex(cfg.token_sha256)
    return _digest(cfg.token.get_secret_value())


def _digest(token: str) -> bytes:
    return hashlib.sha256(token.encode()).digest()
