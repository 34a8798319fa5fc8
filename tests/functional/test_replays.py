"""Recorded traces, replayed against their stated outcomes."""

from lib import replayer


def test_whole_path(snapshot):
    replayed = replayer.replay(replayer.TRACES / "whole_path.jsonl")
    assert replayer.as_lines(replayed.path_of_requests()) == snapshot
    assert [a.answer.error for a in replayed.answers()] == [None] * 9
    assert replayed.answers()[-1].answer.repeated


def test_replay_is_repeatable():
    path = replayer.TRACES / "whole_path.jsonl"
    assert replayer.replay(path) == replayer.replay(path)
