"""Metrics of a host: what is measured, and the text that scrapers read."""

from __future__ import annotations

import pathlib
import re

import pytest

from fescueshunt import errors
from fescueshunt.core import filters, routes, session_items
from fescueshunt_cli._internal.commands import host
from fescueshunt_proxy._internal import metrics, runtime
from fescueshunt_proxy._internal.hosted import (
    exposition,
    measures,
    own_settings,
)

LABELS = r'\{[a-z_]+="[^"]*"(,[a-z_]+="[^"]*")*\}'
SAMPLE = re.compile(rf"^[a-z_]+({LABELS})? \S+$")


class _Nothing(filters.Filter):
    def process(self, item):
        yield from (item,)


def _joined(now: float) -> runtime.Runtime:
    pipe = filters.Pipe((_Nothing(),), ())
    return runtime.Runtime(filters.Core((pipe,)), lambda: now)


def test_every_line_is_a_sample_or_a_type():
    measured = metrics.Metrics()
    key = exposition.labelled("statements", outcome="done", rank=0)
    measured.counters[key] = 3
    measured.record(exposition.labelled("statement", rank=0), 0.025)
    text = exposition.render(measured, {"ready": 1.0})
    samples = [line for line in text.splitlines() if line[0] != "#"]
    assert all(SAMPLE.match(line) for line in samples)
    rows = dict(host.parse_metrics(text))
    name = 'fescueshunt_statements_total{outcome="done",rank="0"}'
    assert rows[name] == "3"
    assert rows["fescueshunt_ready"] == "1"
    median = 'fescueshunt_statement_seconds{rank="0",quantile="0.5"}'
    assert float(rows[median]) == pytest.approx(0.025, rel=0.01)
    assert rows['fescueshunt_statement_seconds_count{rank="0"}'] == "1"


def test_a_label_can_not_break_out_of_its_quotes():
    key = exposition.labelled("decisions", event='a"b\\c\nd')
    measured = metrics.Metrics()
    measured.counters[key] = 1
    (_, line) = exposition.render(measured, {}).splitlines()
    assert line.endswith(r'{event="a\"b\\c\nd"} 1')


def test_latencies_beyond_the_bounds_count_as_the_bounds():
    measured = metrics.Metrics()
    measured.record("slow", 1e6)
    measured.record("slow", -1.0)
    assert measured.latencies["slow"].get_total_count() == 2


def test_an_unreadable_document_is_counted_and_the_good_one_ages():
    joined = _joined(12.0)
    measured = measures.Measures(joined)
    view = routes.RoutesView(10.0, 7, {}, {}, 3.0)
    joined._hand_out(view)
    joined._hand_out(
        session_items.LogDecision(11.0, "routes_unreadable", "", {})
    )
    rows = dict(host.parse_metrics(measured.render()))
    assert rows["fescueshunt_routes_version"] == "7"
    assert rows["fescueshunt_routes_age_seconds"] == "2"
    name = 'fescueshunt_decisions_total{event="routes_unreadable"}'
    assert rows[name] == "1"


def test_own_settings_tell_every_problem_at_once(tmp_path: pathlib.Path):
    file = tmp_path / "host.ini"
    file.write_text(
        "[host]\nmetrics_port = 70000\nlog_lines_per_s = many\nodd = 1\n"
        "[other]\nx = 1\n"
    )
    with pytest.raises(errors.InvalidSettingsError) as caught:
        own_settings.load(file)
    problems = {(p.section, p.key) for p in caught.value.problems}
    assert problems == {
        ("host", "metrics_port"),
        ("host", "log_lines_per_s"),
        ("host", "odd"),
        ("other", ""),
    }


def test_own_settings_have_defaults(tmp_path: pathlib.Path):
    file = tmp_path / "host.ini"
    file.write_text("[host]\nmetrics_port = 7455\n")
    assert own_settings.load(file).metrics_port == 7455
    assert own_settings.load(None) == own_settings.OwnSettings()
