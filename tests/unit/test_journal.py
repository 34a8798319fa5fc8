"""What journals of two processes say together."""

import asyncio

import pytest

from fescueshunt_standins.hosted import (
    journal,
    judge,
    judge_rules,
    recorded_clients,
)

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


def _find_violations(paths):
    """Returns the violations, all of which the judge has kept."""
    checked = journal.judge_journals(paths)
    assert checked.violation_count == len(checked.violations)
    return list(checked.violations)


def test_journals_of_a_correct_exchange_break_nothing(tmp_path):
    paths = _write_exchange(tmp_path, ROWS)
    assert _find_violations(paths) == []


@pytest.mark.parametrize("rows", [ROWS[:1], ROWS[::-1], (), (*ROWS, ROWS[0])])
def test_journals_show_other_rows(tmp_path, rows):
    paths = _write_exchange(tmp_path, rows)
    (violation,) = _find_violations(paths)
    assert violation.rule is judge_rules.Rule.MIXED


# Failure: what a client sends while it receives rows ends their digest, so that
# a correct answer counts as mixed.
def test_message_between_rows_keeps_their_digest(tmp_path):
    paths = _write_exchange(tmp_path, ROWS, (b"TERMINATE\r\n",))
    assert _find_violations(paths) == []


def test_journal_of_upstreams_alone_is_judged_as_unasked(tmp_path):
    _, path = _write_exchange(tmp_path, ROWS)
    (violation,) = _find_violations([path, tmp_path / "missing"])
    assert violation.rule is judge_rules.Rule.UNASKED


# Failure: only the violations that the judge had kept were counted.
def test_count_of_violations_includes_those_not_kept(tmp_path):
    path = tmp_path / "upstreams"
    count = judge.MAX_KEPT_VIOLATIONS + 1
    with journal.writing(path) as written:
        for _ in range(count):
            written.add(Event.UPSTREAM_RECEIVED, "u", b"QUERY - COMMIT\r\n")
    assert journal.judge_journals([path]).violation_count == count


# Failure: what a client sent by `writelines` was missing in its journal, so
# that its run counted as unasked.
def test_lines_written_together_are_recorded(tmp_path):
    async def converse():
        async def accept(reader, writer):
            received.append(await reader.read())
            writer.close()

        received = []
        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        reader, writer = await recorded_clients.open_connection(
            "127.0.0.1", port
        )
        writer.writelines([START, b"QUERY 1 ", b"READ a\r\n"])
        writer.write_eof()
        await reader.read()
        writer.close()
        server.close()
        return received

    path = tmp_path / "clients"
    with (
        journal.writing(path) as written,
        recorded_clients.recording(written),
    ):
        received = asyncio.run(converse())
    sent = [
        entry.line
        for entry in journal.read_entries(path)
        if entry.event is Event.CLIENT_SENT
    ]
    assert sent == [START, b"QUERY 1 READ a\r\n"]
    assert received == [b"".join(sent)]
