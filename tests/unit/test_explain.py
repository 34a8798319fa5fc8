"""Tests of `fescueshunt explain`: a statement's cause, found in logs."""

from __future__ import annotations

import json
import pathlib

import pytest

from fescueshunt_cli._internal.commands import base, explain

ID = "8a5dd672e36cc742"


def _log_line(host: str, event: str, at: float, **fields: object) -> str:
    entry = {"event": event, "at": at, "host": host, "timestamp": "T", **fields}
    return json.dumps(entry)


LOG = [
    "not a JSON line",
    _log_line("h1", "primary_changed", 10.0, database="db1", primary="i-1"),
    _log_line("h1", "primary_changed", 11.0, database="db2", primary="i-9"),
    _log_line("h1", "replacing", 12.0, database="db1", cause="failing"),
    _log_line("h2", "readiness", 12.1, ready=False),
    f"  12.3 h1 {_log_line('h1', 'primary_changed', 12.3, database='db1')}",
    '{"broken": ',
    _log_line("h1", "statement_failed", 12.5, statement="other", why="x"),
    _log_line("h1", "statement_failed", 13.0, statement=ID, why="moving"),
    _log_line("h1", "primary_changed", 14.0, database="db1", primary="i-2"),
]


def test_report_lists_the_view_of_the_host_with_ages(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture
):
    file = tmp_path / "h1.log"
    file.write_text("\n".join(LOG))
    assert explain.ExplainCommand().run(ID, file) == base.SUCCESS
    output = capsys.readouterr().out.splitlines()
    assert output[0] == "T h1 statement_failed"
    assert "  why: moving" in output
    assert "  replacing 1.0 s before: database db1, cause failing" in output
    assert "  primary_changed 0.7 s before: database db1" in output
    assert any("primary i-9" in line for line in output)
    assert not any("i-2" in line or "readiness" in line for line in output)


def test_explain_fails_if_no_line_names_the_statement(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture
):
    file = tmp_path / "h1.log"
    file.write_text("\n".join(LOG))
    assert explain.ExplainCommand().run("nobody", file) == base.FAILURE
    assert capsys.readouterr().out == "no line names nobody\n"
