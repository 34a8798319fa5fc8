"""The log of decisions: bounded by kind, and never waiting for a reader."""

from __future__ import annotations

import os

import structlog

from fescueshunt.core import session_items
from fescueshunt_proxy._internal.hosted import decisions, own_settings


def test_a_reader_that_stops_reading_holds_nobody_up():
    reader, writer = os.pipe()
    try:
        sink = decisions.NonBlockingLogger(writer)
        for _ in range(5000):
            sink.msg("x" * 100)
        first = os.read(reader, 1 << 20)
        sink.msg("after")
        told = os.read(reader, 1 << 20).decode()
    finally:
        os.close(reader)
        os.close(writer)
    assert first.startswith(b"x" * 100 + b"\n")
    assert '"event": "lines_left_out"' in told
    assert told.endswith("after\n")


def test_a_kind_of_decision_keeps_to_its_budget_and_counts_the_rest():
    now = 10.0
    cfg = own_settings.OperatorSettings()
    log = decisions.DecisionLog(cfg)
    with structlog.testing.capture_logs() as lines:
        for number in range(1000):
            log.write(
                session_items.Decided(
                    now, "statement_failed", f"s{number}", {"why": "x"}
                )
            )
        log.write(session_items.Decided(now, "duty_taken", "", {}))
        later = now + 1.0
        log.write(session_items.Decided(later, "statement_failed", "s", {}))
    failed = [line for line in lines if line["event"] == "statement_failed"]
    assert len(failed) == cfg.log_burst_lines + 1
    assert failed[-1]["left_out"] == 1000 - cfg.log_burst_lines
    assert any(line["event"] == "duty_taken" for line in lines)
