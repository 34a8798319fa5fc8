"""The judge finds each violation, and none in a correct conversation."""

import pytest

from fescueshunt_standins.hosted import judge_rules
from lib import judged_conversation

MIXED = {judge_rules.Rule.MIXED}
PINNED = {judge_rules.Rule.PINNED}
UNASKED = {judge_rules.Rule.UNASKED}


@pytest.fixture(name="talk")
def _talk():
    """Two clients, A and B, and two connections, u and v."""
    return judged_conversation.start("A", "B", connections=("u", "v"))


# Correct conversations.


def test_session_with_values_and_renamed_statement_breaks_nothing(talk):
    talk.answer_locally("A", "SET lang no se")
    talk.answer_locally("A", "PREPARE s1 READ q5 READ cq")
    talk.run("u", "- SET lang no se")
    talk.run("u", "- PREPARE p77 READ q5 READ cq")
    talk.send("A", "EXECUTE s1 it0")
    talk.run("u", "A SINCE 1.7 EXECUTE p77 it0", "ROW a b", "COMPLETE r1")
    talk.answer("A", "ROW a b", "COMPLETE r1")
    talk.run("u", "- RESET")
    talk.serve("B", "u", "READ it1", "r2")
    assert not talk.judge.violations


def test_transaction_and_single_write_break_nothing(talk):
    talk.begin("A", "u")
    talk.serve("B", "v", "WRITE a 1 2 3", "r1")
    talk.serve("A", "u", "READ a", "r2", state="T")
    talk.serve("A", "u", "WRITE a 1", "r3", state="T")
    talk.serve("A", "u", "WRITE a 1", "r4", state="T")
    talk.serve("A", "u", "COMMIT", "r5")
    talk.begin("B", "u", "BEGIN READ")
    talk.serve("B", "u", "READ a", "r6", state="T")
    talk.serve("B", "u", "ROLLBACK", "-")
    talk.serve("A", "u", "READ b", "r7")
    assert not talk.judge.violations


def test_repeats_that_had_no_run_or_no_effect_break_nothing(talk):
    talk.send("A", "WRITE a 1")
    talk.run("u", "A WRITE a 1", "ERROR BUSY -")
    talk.run("v", "A WRITE a 1", "COMPLETE r1")
    talk.answer("A", "COMPLETE r1")
    talk.send("B", "READ a")
    talk.run("u", "B READ a", "ROW old", "COMPLETE r2")
    talk.run("v", "B READ a", "ROW new", "COMPLETE r3")
    talk.answer("B", "ROW new", "COMPLETE r3")
    assert not talk.judge.violations


def test_client_that_leaves_in_its_transaction_breaks_nothing(talk):
    talk.begin("A", "u")
    talk.send("A", "WRITE a 1")
    talk.judge.client_closed("A")
    talk.run("u", "A WRITE a 1", "COMPLETE r1", state="T")
    talk.run("u", "- ROLLBACK")
    talk.serve("B", "u", "READ a", "r2")
    assert not talk.judge.violations


def test_promise_before_the_write_ran_breaks_nothing(talk):
    talk.begin("A", "u")
    talk.serve("A", "u", "WRITE a 1", "r1", state="T")
    talk.send("A", "COMMIT")
    talk.run("u", "A COMMIT", "ERROR READONLY u-b")
    talk.answer("A", "ERROR READONLY u-b")
    assert not talk.judge.violations


def test_statements_sent_ahead_break_nothing(talk):
    for text in ("SET x 1", "PREPARE s READ q", "EXECUTE s it"):
        talk.send("A", text)
    talk.run("u", "- SET x 1")
    talk.run("u", "- PREPARE p READ q")
    talk.run("u", "A EXECUTE p it", "COMPLETE r1")
    for line in ("COMPLETE -", "COMPLETE -", "COMPLETE r1"):
        talk.answer("A", line)
    assert not talk.judge.violations


def test_unreadable_statement_keeps_the_answers_in_step(talk):
    talk.send("A", "PREPARE s NEITHER q")
    talk.send("A", "SET x 1")
    talk.answer("A", "ERROR MALFORMED -")
    talk.answer("A", "COMPLETE -")
    talk.run("u", "- SET x 1")
    talk.serve("A", "u", "READ a", "r1")
    assert not talk.judge.violations


# MIXED.


@pytest.mark.parametrize(
    "lines",
    [
        ("ROW a", "COMPLETE -"),
        ("ROW a", "COMPLETE r2"),
        ("ROW b", "COMPLETE r1"),
        ("COMPLETE r1",),
        ("ROW a", "ROW a", "COMPLETE r1"),
    ],
)
def test_success_with_other_receipt_or_rows_is_mixed(talk, lines):
    talk.send("A", "READ a")
    talk.run("u", "A READ a", "ROW a", "COMPLETE r1")
    talk.answer("A", *lines)
    assert talk.rules() == MIXED


@pytest.mark.parametrize("text", ["READ a", "WRITE a 1"])
def test_success_without_a_run_is_mixed(talk, text):
    talk.send("A", text)
    talk.answer("A", "COMPLETE r1")
    assert talk.rules() == MIXED


def test_commit_without_a_run_is_mixed(talk):
    talk.begin("A", "u")
    talk.send("A", "COMMIT")
    talk.answer("A", "COMPLETE -")
    assert talk.rules() == MIXED


def test_answer_of_another_client_is_mixed(talk):
    talk.send("A", "READ a")
    talk.send("B", "READ a")
    talk.run("u", "A READ a", "COMPLETE r1")
    talk.run("v", "B READ a", "COMPLETE r2")
    talk.answer("A", "COMPLETE r2")
    assert talk.rules() == MIXED


def test_success_without_a_request_is_mixed(talk):
    talk.serve("A", "u", "READ a", "r1")
    talk.answer("A", "COMPLETE r1")
    assert talk.rules() == MIXED


# PINNED.


def test_run_on_another_connection_is_pinned(talk):
    talk.begin("A", "u")
    talk.serve("A", "u", "READ a", "r1", state="T")
    talk.serve("A", "v", "READ b", "r2")
    assert talk.rules() == PINNED


def test_move_to_a_second_transaction_is_pinned(talk):
    talk.begin("A", "u")
    talk.serve("A", "u", "READ a", "r1", state="T")
    talk.run("v", "A BEGIN", state="T")
    talk.serve("A", "v", "READ b", "r2", state="T")
    assert talk.rules() == PINNED


def test_run_inside_another_transaction_is_pinned(talk):
    talk.begin("A", "u")
    talk.serve("B", "u", "READ a", "r1", state="T")
    assert talk.rules() == PINNED


def test_run_of_a_transaction_inside_another_one_is_pinned(talk):
    talk.begin("A", "u")
    talk.begin("B", "v")
    talk.serve("B", "u", "READ a", "r1", state="T")
    assert talk.rules() == PINNED


def test_run_outside_the_transaction_is_pinned(talk):
    talk.send("A", "BEGIN")
    talk.answer("A", "COMPLETE -", state="T")
    talk.serve("A", "u", "WRITE a 1", "r1")
    assert talk.rules() == PINNED


@pytest.mark.parametrize(
    "at_upstream",
    [(), ("SET x 2",), ("SET x 1 ",), ("SET x 1", "SET y 1"), ("SET X 1",)],
)
def test_other_values_are_pinned(talk, at_upstream):
    talk.answer_locally("A", "SET x 1")
    for text in at_upstream:
        talk.run("u", f"- {text}")
    talk.serve("A", "u", "READ a", "r1")
    assert talk.rules() == PINNED


def test_values_left_by_another_client_are_pinned(talk):
    talk.run("u", "- SET x 1")
    talk.serve("A", "u", "READ a", "r1")
    assert talk.rules() == PINNED


def test_refused_value_counts_as_unset(talk):
    talk.answer_locally("A", "SET x 1")
    talk.run("u", "- SET x 1", "ERROR BUSY -")
    talk.serve("A", "u", "READ a", "r1")
    assert talk.rules() == PINNED


@pytest.mark.parametrize(
    "shape",
    ["READ q6", "WRITE q5", "READ q5 ", "READ cq READ q5", "READ q5 READ cq"],
)
def test_other_shape_or_kind_is_pinned(talk, shape):
    talk.answer_locally("A", "PREPARE s READ q5")
    talk.run("u", f"- PREPARE p {shape}")
    talk.send("A", "EXECUTE s it")
    talk.run("u", "A EXECUTE p it", "COMPLETE r1")
    talk.answer("A", "COMPLETE r1")
    assert talk.rules() == PINNED


def test_shape_after_a_lost_preparation_is_pinned(talk):
    talk.answer_locally("A", "PREPARE s READ q5")
    talk.run("u", "- PREPARE p READ q5", "ERROR BUSY -")
    talk.send("A", "EXECUTE s it")
    talk.run("u", "A EXECUTE p it", "COMPLETE r1")
    assert talk.rules() == PINNED


def test_unknown_though_acknowledged_is_pinned(talk):
    talk.answer_locally("A", "PREPARE s READ q5")
    talk.send("A", "EXECUTE s it")
    talk.run("u", "A EXECUTE p it", "ERROR NOSTMT -")
    talk.answer("A", "ERROR NOSTMT -")
    assert talk.rules() == PINNED


# Failure: an unknown name in DEALLOC counted as PINNED.
def test_deallocation_of_an_unknown_name_breaks_nothing(talk):
    talk.send("A", "DEALLOC s1")
    talk.answer("A", "ERROR NOSTMT -")
    assert not talk.judge.violations


# Failure: what follows a second BEGIN counted as another transaction.
def test_second_begin_that_is_refused_breaks_nothing(talk):
    talk.send("A", "BEGIN", "a1")
    talk.send("A", "BEGIN", "a2")
    talk.send("A", "READ it0", "a3")
    talk.run("u", "a1 BEGIN", state="T")
    talk.run("u", "a3 READ it0", "COMPLETE r1", state="T")
    talk.answer("A", "COMPLETE -", state="T")
    talk.answer("A", "ERROR MALFORMED -", state="T")
    talk.answer("A", "COMPLETE r1", state="T")
    assert not talk.judge.violations


def test_unknown_after_deallocation_breaks_nothing(talk):
    talk.answer_locally("A", "PREPARE s READ q5")
    talk.answer_locally("A", "DEALLOC s")
    talk.send("A", "EXECUTE s it")
    talk.answer("A", "ERROR NOSTMT -")
    assert not talk.judge.violations


# UNASKED.


@pytest.mark.parametrize(
    "text",
    [
        "A WRITE a 2",
        "A WRITE a 1 ",
        "A WRITE a",
        "A READ a",
        "A COMMIT",
        "C WRITE a 1",
        "- WRITE a 1",
        "- EXECUTE p a",
        "- COMMIT",
        "A  WRITE a 1",
        "A WRITE  a 1",
        "A SINCE 1.1 WRITE a 1",
        "A write a 1",
        "A WRITE a 1\nQUERY A WRITE a 1",
        "A WRITE a 1\rX",
    ],
)
def test_statement_that_was_not_sent_is_unasked(talk, text):
    talk.send("A", "WRITE a 1")
    talk.judge.upstream_received("u", f"QUERY {text}\r\n".encode())
    assert talk.rules() == UNASKED


def test_second_statement_inside_an_argument_is_unasked(talk):
    talk.send("A", "WRITE a 1\nQUERY x WRITE a 2")
    talk.judge.upstream_received("u", b"QUERY A WRITE a 1\r\n")
    talk.judge.upstream_received("u", b"QUERY x WRITE a 2\r\n")
    assert talk.rules() == UNASKED
    assert talk.judge.violation_count == 2


# Failure: a shape with blanks became a part of the name at the upstream, which
# ran another statement with other arguments.
def test_shape_inside_the_name_is_unasked(talk):
    talk.answer_locally("A", "PREPARE s READ q5 READ cq")
    talk.run("u", "- PREPARE r.q5 READ cq READ q5 READ cq")
    talk.send("A", "EXECUTE s it0")
    talk.run("u", "A EXECUTE r.q5 READ cq it0", "COMPLETE r1")
    assert talk.rules() == UNASKED


def test_commit_without_the_clients_is_unasked(talk):
    talk.begin("A", "u")
    talk.serve("A", "u", "WRITE a 1", "r1", state="T")
    talk.run("u", "A COMMIT", "COMPLETE r2")
    assert judge_rules.Rule.UNASKED in talk.rules()
