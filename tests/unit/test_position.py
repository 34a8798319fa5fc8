"""Tests of terms, log positions and log histories."""

from fescueshunt.core import position

T1 = position.Term(1)
T2 = position.Term(2, "b")


def test_history_contains_an_older_term_only_up_to_the_fork():
    history = position.History(
        (position.Branch(T1, 1), position.Branch(T2, 6)), end=9
    )
    assert history.holds(position.Position(T1, 5))
    assert not history.holds(position.Position(T1, 6))
    assert history.holds(position.Position(T2, 9))
    assert not history.holds(position.Position(T2, 10))


def test_common_end_is_the_last_index_before_the_histories_diverge():
    old = position.History((position.Branch(T1, 1),), end=8)
    new = position.History(
        (position.Branch(T1, 1), position.Branch(T2, 6)), end=9
    )
    assert old.common_end(new) == 5
    assert new.common_end(new) == 9


def test_extend_adds_a_branch_for_a_new_term():
    history = position.History().extend(T1).extend(T1).extend(T2)
    assert history.branches == (position.Branch(T1, 1), position.Branch(T2, 3))
    assert history.last == position.Position(T2, 3)
