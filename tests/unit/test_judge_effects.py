"""The judge finds writes that took effect twice or against an answer."""

import pytest

from fescueshunt_standins.hosted import judge_rules
from lib import judged_conversation

TWICE = {judge_rules.Rule.TWICE}
REFUSED = {judge_rules.Rule.REFUSED}


@pytest.fixture(name="talk")
def _talk():
    """Two clients, A and B, and two connections, u and v."""
    return judged_conversation.start("A", "B", connections=("u", "v"))


# TWICE.


def test_second_single_write_is_twice(talk):
    talk.send("A", "WRITE a 1")
    talk.run("u", "A WRITE a 1", "COMPLETE r1")
    talk.run("v", "A WRITE a 1", "COMPLETE r2")
    talk.answer("A", "COMPLETE r2")
    assert talk.rules() == TWICE


def test_write_twice_in_one_commit_is_twice(talk):
    talk.begin("A", "u")
    talk.send("A", "WRITE a 1")
    talk.run("u", "A WRITE a 1", "COMPLETE r1", state="T")
    talk.run("u", "A WRITE a 1", "COMPLETE r2", state="T")
    talk.answer("A", "COMPLETE r2", state="T")
    assert not talk.judge.violations
    talk.serve("A", "u", "COMMIT", "r3")
    assert talk.rules() == TWICE


def test_prepared_write_twice_is_twice(talk):
    talk.answer_locally("A", "PREPARE s WRITE q")
    talk.run("u", "- PREPARE p WRITE q")
    talk.send("A", "EXECUTE s a 1")
    talk.run("u", "A EXECUTE p a 1", "COMPLETE r1")
    talk.run("u", "A EXECUTE p a 1", "COMPLETE r2")
    assert talk.rules() == TWICE


def test_second_write_in_a_transaction_that_is_rolled_back(talk):
    talk.begin("A", "u")
    talk.send("A", "WRITE a 1")
    talk.run("u", "A WRITE a 1", "COMPLETE r1", state="T")
    talk.run("u", "A WRITE a 1", "COMPLETE r2", state="T")
    talk.answer("A", "COMPLETE r2", state="T")
    talk.serve("A", "u", "ROLLBACK", "-")
    assert not talk.judge.violations


# REFUSED.

NO_EFFECT_CODES = (
    "BUSY",
    "ABORTED",
    "LAGGING",
    "READONLY",
    "MISROUTED",
    "CONNLIMIT",
)


@pytest.mark.parametrize("code", NO_EFFECT_CODES)
def test_promise_after_the_write_is_refused(talk, code):
    talk.send("A", "WRITE a 1")
    talk.run("u", "A WRITE a 1", "COMPLETE r1")
    talk.answer("A", f"ERROR {code} -")
    assert talk.rules() == REFUSED


@pytest.mark.parametrize("code", NO_EFFECT_CODES)
def test_write_after_the_promise_is_refused(talk, code):
    talk.send("A", "WRITE a 1")
    talk.answer("A", f"ERROR {code} -")
    talk.judge.client_closed("A")
    talk.run("u", "A WRITE a 1", "COMPLETE r1")
    assert talk.rules() == REFUSED


@pytest.mark.parametrize("code", NO_EFFECT_CODES)
def test_commit_after_the_promise_is_refused(talk, code):
    talk.begin("A", "u")
    talk.serve("A", "u", "WRITE a 1", "r1", state="T")
    talk.send("A", "COMMIT")
    talk.answer("A", f"ERROR {code} -")
    talk.run("u", "A COMMIT", "COMPLETE r2")
    assert talk.rules() == REFUSED


def test_promise_after_the_commit_is_refused(talk):
    talk.begin("A", "u")
    talk.serve("A", "u", "WRITE a 1", "r1", state="T")
    talk.send("A", "COMMIT")
    talk.run("u", "A COMMIT", "COMPLETE r2")
    talk.judge.client_received("A", b"ERROR ABORTED -\r\n")
    talk.judge.client_closed("A")
    assert talk.rules() == REFUSED


@pytest.mark.parametrize("code", ["INDOUBT", "TIMEOUT", "FAILED"])
def test_codes_that_promise_nothing_break_nothing(talk, code):
    talk.send("A", "WRITE a 1")
    talk.answer("A", f"ERROR {code} -")
    talk.run("u", "A WRITE a 1", "COMPLETE r1")
    assert not talk.judge.violations
