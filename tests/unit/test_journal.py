"""What journals of two processes say together."""

import pytest

from fescueshunt_standins.hosted import journal, judge

Event = journal.Event
START = b"START db c\r\n"
READY = b"READY I -\r\n"
ROWS = (b"ROW a\r\n", b"ROW b c\r\n")


def _write_exchange(tmp_path, client_rows, sent_between=()):
    """Writes the journals of a read; returns their paths."""
    paths = tmp_path / "clients", tmp_path / "upstreams"
    with journal.writing(paths[0]) as client, journal.writing(paths[1]) as up:
        client.add(Event.CLIENT_SENT, "c", START)
        client.add(Event.CLIENT_RECEIVED, "c", READY)
        up.add(Event.UPSTREAM_RECEIVED, "u", START)
        up.add(Event.UPSTREAM_SENT, "u", READY)
        client.add(Event.CLIENT_SENT, "c", b"QUERY 1 READ a\r\n")
        up.add(Event.UPSTREAM_RECEIVED, "u", b"QUERY 1 READ a\r\n")
        for line in (*ROWS, b"COMPLETE r\r\n", READY):
            up.add(Event.UPSTREAM_SENT, "u", line)
        up.add(Event.UPSTREAM_CLOSED, "u")
        for row in client_rows:
            client.add(Event.CLIENT_RECEIVED, "c", row)
            for line in sent_between:
                client.add(Event.CLIENT_SENT, "c", line)
        for line in (b"COMPLETE r\r\n", READY):
            client.add(Event.CLIENT_RECEIVED, "c", line)
        client.add(Event.CLIENT_CLOSED, "c")
    return paths


def test_journals_of_a_correct_exchange_break_nothing(tmp_path):
    paths = _write_exchange(tmp_path, ROWS)
    assert journal.find_violations(paths) == []


@pytest.mark.parametrize("rows", [ROWS[:1], ROWS[::-1], (), (*ROWS, ROWS[0])])
def test_journals_show_other_rows(tmp_path, rows):
    paths = _write_exchange(tmp_path, rows)
    (violation,) = journal.find_violations(paths)
    assert violation.rule is judge.Rule.MIXED


# Failure: what a client sends while it receives rows ends their digest, so that
# a correct answer counts as mixed.
def test_message_between_rows_keeps_their_digest(tmp_path):
    paths = _write_exchange(tmp_path, ROWS, (b"TERMINATE\r\n",))
    assert journal.find_violations(paths) == []


def test_journal_of_upstreams_alone_is_judged_as_unasked(tmp_path):
    _, path = _write_exchange(tmp_path, ROWS)
    (violation,) = journal.find_violations([path, tmp_path / "missing"])
    assert violation.rule is judge.Rule.UNASKED
