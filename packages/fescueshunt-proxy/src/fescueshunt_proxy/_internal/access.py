"""Authentication of operators by the tokens in an INI file.

The file has a section [operator NAME] for each operator, with a `role` (read or
change) and either the `token` or `token_sha256`, its SHA-256 digest in
hexadecimal. Only the digests are kept in memory.
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

SECTION_KIND = "operator"
MIN_TOKEN_CHARS = 16
MAX_TOKEN_CHARS = 512
DIGEST_PATTERN = r"^[0-9a-f]{64}$"


class Role(enum.StrEnum):
    """The permissions of an operator."""

    READ = "read"
    CHANGE = "change"


class OperatorSection(pydantic.BaseModel):
    """A section [operator NAME] of the tokens file.

    Attributes:
      role: `read` permits queries; `change` also permits changing settings.
      token: the operator's secret, from 16 to 512 characters.
      token_sha256: the SHA-256 digest of the secret in hexadecimal, given
        instead of `token`.
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
    def _check_one_secret(self) -> OperatorSection:
        if (self.token is None) == (self.token_sha256 is None):
            raise ValueError("expected either token or token_sha256")
        return self


@dataclasses.dataclass(frozen=True, slots=True)
class Operator:
    """An operator, with the SHA-256 digest of its token."""

    name: str
    role: Role
    digest: bytes = dataclasses.field(repr=False)

    @property
    def may_change(self) -> bool:
        """Whether the operator may change settings."""
        return self.role is Role.CHANGE


class Authenticator:
    """Identifies operators by their tokens."""

    def __init__(self, operators: tuple[Operator, ...]) -> None:
        self._operators = operators

    def authenticate(self, token: str) -> Operator:
        """Returns the operator that has `token`.

        Compares the digests of all operators, each in constant time, so that
        the duration reveals nothing about the tokens.

        Raises:
          AccessDeniedError: if no operator has this token.
        """
        digest = _token_digest(token)
        matched = None
        for operator in self._operators:
            if hmac.compare_digest(operator.digest, digest):
                matched = operator
        if matched is None:
            raise errors.AccessDeniedError("the token is unknown")
        return matched


def load(path: str) -> Authenticator:
    """Returns an authenticator for the operators in the file at `path`.

    If `path` is empty, there are no operators and every token is rejected.

    Raises:
      InvalidSettingsError: if the file is invalid; lists all invalid settings.
    """
    if not path:
        return Authenticator(())
    operators: list[Operator] = []
    problems: list[errors.SettingProblem] = []
    for header, values in _read_operator_sections(path).items():
        kind, _, name = header.partition(" ")
        if kind != SECTION_KIND or not name:
            expected = f"expected [{SECTION_KIND} NAME]"
            problems.append(
                errors.SettingProblem(path, header, "", "", expected)
            )
            continue
        cfg, invalid = ini.validate(OperatorSection, path, header, values)
        problems.extend(_redact(problem) for problem in invalid)
        if cfg is not None:
            operators.append(Operator(name, cfg.role, _configured_digest(cfg)))
    if problems:
        raise errors.InvalidSettingsError(problems)
    return Authenticator(tuple(operators))


def _read_operator_sections(path: str) -> dict[str, sections.Section]:
    try:
        return sections.read_sections(pathlib.Path(path))
    except errors.InvalidSettingsError:
        problem = errors.SettingProblem(
            path, "", "", "(hidden)", "expected an INI file"
        )
    raise errors.InvalidSettingsError([problem])


def _redact(problem: errors.SettingProblem) -> errors.SettingProblem:
    """Returns `problem` without its value, which may be a secret."""
    return dataclasses.replace(problem, value="(hidden)")


def _configured_digest(cfg: OperatorSection) -> bytes:
    if cfg.token_sha256 is not None:
        return bytes.fromhex(cfg.token_sha256)
    return _token_digest(cfg.token.get_secret_value())


def _token_digest(token: str) -> bytes:
    return hashlib.sha256(token.encode()).digest()
