"""From a statement's id to its cause, from the log alone."""

from __future__ import annotations

import json
import pathlib

import pytest

from fescueshunt_cli._internal.commands import base, explain

ID = "8a5dd672e36cc742"


def _text(host: str, event: str, at: float, **fields: object) -> str:
    told = {"event": event, "at": at, "host": host, "timestamp": "T", **fields}
    return json.dumps(told)


LOG = [
    "not a line of ours",
    _text("h1", "primary_changed", 10.0, database="db1", primary="i-1"),
    _text("h1", "primary_changed", 11.0, database="db2", primary="i-9"),
    _text("h1", "replacing", 12.0, database="db1", cause="failing"),
    _text("h2", "readiness", 12.1, ready=False),
    f"  12.3 h1 {_text('h1', 'primary_changed', 12.3, database='db1')}",
    '{"broken": ',
    _text("h1", "statement_failed", 12.5, statement="other", why="x"),
    _text("h1", "statement_failed", 13.0, statement=ID, why="moving"),
    _text("h1", "primary_changed", 14.0, database="db1", primary="i-2"),
]


def test_the_newest_beliefs_of_the_host_are_told_with_their_ages(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture
):
    file = tmp_path / "h1.log"
    file.write_text("\n".join(LOG))
    assert explain.ExplainCommand().run(ID, file) == base.SUCCESS
    told = capsys.readouterr().out.splitlines()
    assert told[0] == "T h1 statement_failed"
    assert "  why: moving" in told
    assert "  replacing 1.0 s before: database db1, cause failing" in told
    assert "  primary_changed 0.7 s before: database db1" in told
    assert any("primary i-9" in line for line in told)
    assert not any("i-2" in line or "readiness" in line for line in told)


def test_a_statement_without_a_line_is_not_explained(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture
):
    file = tmp_path / "h1.log"
    file.write_text("\n".join(LOG))
    assert explain.ExplainCommand().run("nobody", file) == base.FAILURE
    assert capsys.readouterr().out == "no line names nobody\n"
