"""Replays of recorded traces, compared with snapshots of expected effects.

`python tests/lib/record_traces.py` records new traces.
"""

import pytest

from fescueshunt import errors
from fescueshunt.core import items, position, process, upstream, views
from lib import replayer, scenarios

DONE = errors.Outcome.DONE


def replay_trace(name: str) -> replayer.Replay:
    return replayer.replay(replayer.TRACES / f"{name}.jsonl")


def rows(answer: items.AnswerCaller) -> list:
    return [row for result in answer.answer.results for row in result.rows]


@pytest.mark.parametrize("name", scenarios.ALL)
def test_answers_are_as_stated(name, snapshot):
    replayed = replay_trace(name)
    assert replayer.format_effects(replayed.request_effects()) == snapshot


@pytest.mark.parametrize("name", scenarios.ALL)
def test_replay_is_repeatable(name):
    assert replay_trace(name) == replay_trace(name)


def test_whole_path():
    answers = replay_trace("whole_path").answers()
    assert [a.answer.error for a in answers] == [None] * 9
    assert answers[-1].answer.repeated


def test_read_your_writes():
    *_, write, r1, r2, r3, r4, r5, r6 = replay_trace(
        "read_your_writes"
    ).answers()
    reads = [r1, r2, r3, r4, r5, r6]
    assert write.answer.outcome is DONE
    assert all(rows(read) == [("mine",)] for read in reads)
    assert any(read.answer.from_replica for read in reads)


def test_no_acknowledgement_by_a_replaced_primary():
    """Only the primary of the new term may report the write as done."""
    replayed = replay_trace("replaced_primary")
    _, *answers = replayed.answers()
    assert answers
    terms = [v.term for v in replayed.effects_of_type(views.GroupView)]
    assert max(terms) > position.FIRST_TERM
    for answer in answers:
        token = answer.answer.token
        assert token is None or token.term > position.FIRST_TERM


def test_transactions_never_mix():
    replayed = replay_trace("transactions")
    conns: dict[str, set[int]] = {}
    for call in replayed.effects_of_type(items.RunUpstream):
        for statement in call.call.statements:
            for value in statement.params:
                if isinstance(value, str) and len(value) < 3:
                    conns.setdefault(value, set()).add(call.conn)
    assert conns["a1"] == conns["a2"]
    assert conns["a1"].isdisjoint(conns["b1"])
    assert "x" not in conns
    (refused,) = [a for a in replayed.answers() if a.answer.error]
    assert refused.answer.error == errors.TransactionLostError()


def test_answers_of_other_requests_are_ignored():
    (answer,) = replay_trace("crossed_answers").answers()[-1:]
    assert answer.answer.error is None
    assert answer.answer.upstream == "db-0"


def test_write_reported_as_not_run_is_not_committed():
    replayed = replay_trace("silent_statement")
    assert replayed.answers()[-1].answer.outcome is errors.Outcome.NOT_RUN
    modes = [
        call.call.mode for call in replayed.effects_of_type(items.RunUpstream)
    ]
    assert upstream.Mode.COMMIT not in modes


def test_resent_write_runs_once():
    replayed = replay_trace("lost_commit_answer")
    first, second = replayed.answers()[-2:]
    assert first.answer.outcome is DONE
    assert second.answer.outcome is DONE
    assert first.answer.repeated
    assert second.answer.repeated
    assert first.answer.results == second.answer.results
    modes = [
        call.call.mode for call in replayed.effects_of_type(items.RunUpstream)
    ]
    assert modes.count(upstream.Mode.COMMIT) == 1


def test_draining_upstream_gets_no_work_and_settings_never_revert():
    replayed = replay_trace("leaving_upstream")
    answers = replayed.answers()
    assert {a.answer.upstream for a in answers[1:7]} >= {"db-2"}
    assert "db-2" not in {a.answer.upstream for a in answers[7:]}
    assert len(answers) == 13
    revisions = [
        view.document.revision
        for view in replayed.effects_of_type(views.SettingsView)
    ]
    assert revisions == [1, 2]


def test_graceful_shutdown_interrupts_no_request():
    replayed = replay_trace("planned_stop")
    effects = [
        effect
        for effect in replayed.effects
        if isinstance(effect, items.AnswerCaller | process.Stopped)
    ]
    assert isinstance(effects[-1], process.Stopped)
    answers = [effect.answer for effect in effects[1:-1]]
    assert [a.error for a in answers if a.error] == [errors.StoppingError()]
    assert len(answers) == 5
    assert [a.outcome for a in answers].count(DONE) == 4
