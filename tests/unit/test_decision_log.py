"""Tests of the decision log: rate limits and non-blocking writes."""

from __future__ import annotations

import os

import structlog

from fescueshunt.core import session_items
from fescueshunt_proxy._internal.hosted import decisions, own_settings


def test_logger_does_not_block_on_a_stalled_reader():
    read_fd, write_fd = os.pipe()
    try:
        logger = decisions.NonBlockingLogger(write_fd)
        for _ in range(5000):
            logger.msg("x" * 100)
        first_read = os.read(read_fd, 1 << 20)
        logger.msg("after")
        second_read = os.read(read_fd, 1 << 20).decode()
    finally:
        os.close(read_fd)
        os.close(write_fd)
    assert first_read.startswith(b"x" * 100 + b"\n")
    assert '"event": "lines_left_out"' in second_read
    assert second_read.endswith("after\n")


# Failure: a host ends, with all statements in flight, because the reader of its
# log has ended or the log's device is full.
def test_logger_drops_lines_that_cannot_be_written():
    read_fd, write_fd = os.pipe()
    os.close(read_fd)
    full_fd = os.open("/dev/full", os.O_WRONLY)
    try:
        for fd in (write_fd, full_fd):
            logger = decisions.NonBlockingLogger(fd)
            logger.msg("dropped")
            logger.msg("dropped")
    finally:
        os.close(write_fd)
        os.close(full_fd)


def test_log_lines_are_rate_limited_by_event_name():
    now = 10.0
    cfg = own_settings.OperatorSettings()
    log = decisions.DecisionLog(cfg)
    with structlog.testing.capture_logs() as lines:
        for number in range(1000):
            log.write(
                session_items.LogDecision(
                    now, "statement_failed", f"s{number}", {"why": "x"}
                )
            )
        log.write(session_items.LogDecision(now, "duty_taken", "", {}))
        later = now + 1.0
        log.write(session_items.LogDecision(later, "statement_failed", "s", {}))
    failure_lines = [
        line for line in lines if line["event"] == "statement_failed"
    ]
    assert len(failure_lines) == cfg.log_burst_lines + 1
    assert failure_lines[-1]["left_out"] == 1000 - cfg.log_burst_lines
    assert any(line["event"] == "duty_taken" for line in lines)
