"""Recorded traces, replayed against their stated outcomes.

`python tests/lib/record_traces.py` records them anew.
"""

import pytest

from fescueshunt import errors
from fescueshunt.core import items, position, process, upstream, views
from lib import replayer, scenarios

DONE = errors.Outcome.DONE


def load(name: str) -> replayer.Replay:
    return replayer.replay(replayer.TRACES / f"{name}.jsonl")


def rows(answer: items.AnswerCaller) -> list:
    return [row for result in answer.answer.results for row in result.rows]


@pytest.mark.parametrize("name", scenarios.ALL)
def test_answers_are_as_stated(name, snapshot):
    replayed = load(name)
    assert replayer.as_lines(replayed.path_of_requests()) == snapshot


@pytest.mark.parametrize("name", scenarios.ALL)
def test_replay_is_repeatable(name):
    assert load(name) == load(name)


def test_whole_path():
    answers = load("whole_path").answers()
    assert [a.answer.error for a in answers] == [None] * 9
    assert answers[-1].answer.repeated


def test_read_your_writes():
    *_, written, r1, r2, r3, r4, r5, r6 = load("read_your_writes").answers()
    reads = [r1, r2, r3, r4, r5, r6]
    assert written.answer.outcome is DONE
    assert all(rows(read) == [("mine",)] for read in reads)
    assert any(read.answer.from_replica for read in reads)


def test_no_acknowledgement_by_a_replaced_primary():
    """The write is told as done in the new term only, or not as done."""
    replayed = load("replaced_primary")
    _, *answers = replayed.answers()
    assert answers
    terms = [v.term for v in replayed.of(views.GroupView)]
    assert max(terms) > position.FIRST_TERM
    for told in answers:
        token = told.answer.token
        assert token is None or token.term > position.FIRST_TERM


def test_transactions_never_mix():
    replayed = load("transactions")
    conns: dict[str, set[int]] = {}
    for call in replayed.of(items.RunUpstream):
        for statement in call.call.statements:
            for value in statement.params:
                if isinstance(value, str) and len(value) < 3:
                    conns.setdefault(value, set()).add(call.conn)
    assert conns["a1"] == conns["a2"]
    assert conns["a1"].isdisjoint(conns["b1"])
    assert "x" not in conns
    (refused,) = [a for a in replayed.answers() if a.answer.error]
    assert refused.answer.error == errors.TransactionLostError()


def test_whole_answer_to_its_own_request():
    (answer,) = load("crossed_answers").answers()[-1:]
    assert answer.answer.error is None
    assert answer.answer.upstream == "db-0"


def test_not_run_did_not_run():
    replayed = load("silent_statement")
    assert replayed.answers()[-1].answer.outcome is errors.Outcome.NOT_RUN
    modes = [call.call.mode for call in replayed.of(items.RunUpstream)]
    assert upstream.Mode.COMMIT not in modes


def test_at_most_once():
    replayed = load("lost_commit_answer")
    first, second = replayed.answers()[-2:]
    assert first.answer.outcome is DONE
    assert second.answer.outcome is DONE
    assert first.answer.repeated
    assert second.answer.repeated
    assert first.answer.results == second.answer.results
    modes = [call.call.mode for call in replayed.of(items.RunUpstream)]
    assert modes.count(upstream.Mode.COMMIT) == 1


def test_leaving_upstream_gets_no_new_work_and_settings_never_revert():
    replayed = load("leaving_upstream")
    answers = replayed.answers()
    assert {a.answer.upstream for a in answers[1:7]} >= {"db-2"}
    assert "db-2" not in {a.answer.upstream for a in answers[7:]}
    assert len(answers) == 13
    revisions = [
        view.document.revision for view in replayed.of(views.SettingsView)
    ]
    assert revisions == [1, 2]


def test_planned_stop_cuts_nothing_off():
    replayed = load("planned_stop")
    effects = [
        effect
        for effect in replayed.effects
        if isinstance(effect, items.AnswerCaller | process.Stopped)
    ]
    assert isinstance(effects[-1], process.Stopped)
    told = [effect.answer for effect in effects[1:-1]]
    assert [a.error for a in told if a.error] == [errors.StoppingError()]
    assert len(told) == 5
    assert [a.outcome for a in told].count(DONE) == 4
