"""Tests of terms, positions and histories."""

from fescueshunt.core import position

T1 = position.Term(1)
T2 = position.Term(2, "b")


def test_older_term_counts_only_up_to_the_fork():
    history = position.History(
        (position.Branch(T1, 1), position.Branch(T2, 6)), end=9
    )
    assert history.holds(position.Position(T1, 5))
    assert not history.holds(position.Position(T1, 6))
    assert history.holds(position.Position(T2, 9))
    assert not history.holds(position.Position(T2, 10))


def test_common_end_stops_at_the_first_difference():
    old = position.History((position.Branch(T1, 1),), end=8)
    new = position.History(
        (position.Branch(T1, 1), position.Branch(T2, 6)), end=9
    )
    assert old.common_end(new) == 5
    assert new.common_end(new) == 9


def test_extend_opens_a_branch_for_a_new_term():
    history = position.History().extend(T1).extend(T1).extend(T2)
    assert history.branches == (position.Branch(T1, 1), position.Branch(T2, 3))
    assert history.last == position.Position(T2, 3)
