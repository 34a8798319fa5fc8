"""What the judge keeps, and what it finds without the clients' side."""

import pytest

from fescueshunt_standins.hosted import (
    judge,
    judge_records,
    judge_rules,
    wire_reader,
)
from lib import judged_conversation

MAX_BYTES = wire_reader.MAX_MESSAGE_BYTES
BAD_REQUESTS = (
    b"QUERY 1 READ a\n",
    b"QUERY 1 READ a\r",
    b"QUERY 1 READ a\r\r\n",
    b"QUERY 1 READ a\nQUERY 2 READ b\r\n",
    b"QUERY 1 READ a\r\nQUERY 2 READ b\r\n",
    b"QUERY 1  READ a\r\n",
    b"QUERY  1 READ a\r\n",
    b" QUERY 1 READ a\r\n",
    b"query 1 READ a\r\n",
    b"QUERY 1 READ\r\n",
    b"QUERY 1 READ \r\n",
    b"QUERY 1 WRITE a\r\n",
    b"QUERY 1 BEGIN READ \r\n",
    b"QUERY 1 BEGIN WRITE\r\n",
    b"QUERY 1 COMMIT now\r\n",
    b"QUERY 1 PREPARE s READ\r\n",
    b"QUERY 1 PREPARE s q5 READ cq\r\n",
    b"QUERY 1 EXECUTE s\r\n",
    b"QUERY 1 DEALLOC s t\r\n",
    b"QUERY 1\r\n",
    b"TERMINATE now\r\n",
    b"START  db\r\n",
    b"\r\n",
    b"QUERY 1 READ " + b"a" * MAX_BYTES + b"\r\n",
)
PROXY_REQUESTS = (
    b"QUERY - RESET\r\n",
    b"QUERY - STATUS\r\n",
    b"QUERY - PAUSE 4\r\n",
    b"QUERY - STEPDOWN 4\r\n",
    b"QUERY - RESUME\r\n",
    b"QUERY 1 SINCE 3.1207 READ 1a4\r\n",
    b"QUERY 1 SINCE 3.1207 BEGIN READ\r\n",
)


@pytest.mark.parametrize("line", BAD_REQUESTS)
def test_reader_refuses_what_is_no_message(line):
    for read in (
        wire_reader.read_client_request,
        wire_reader.read_upstream_request,
    ):
        with pytest.raises(wire_reader.WireError):
            read(line)


@pytest.mark.parametrize("line", PROXY_REQUESTS)
def test_reader_knows_which_requests_only_the_proxy_sends(line):
    assert wire_reader.read_upstream_request(line)
    with pytest.raises(wire_reader.WireError):
        wire_reader.read_client_request(line)


@pytest.mark.parametrize(
    "line", [b"QUERY - SINCE 3 READ a\r\n", b"QUERY - PAUSE -4\r\n"]
)
def test_reader_refuses_odd_numbers(line):
    with pytest.raises(wire_reader.WireError):
        wire_reader.read_upstream_request(line)


def test_last_field_reaches_to_the_end_of_the_line():
    query = wire_reader.read_client_request(
        b"QUERY 1 PREPARE s1 WRITE  q5 READ cq \r\n"
    )
    shape = wire_reader.Shape(True, " q5 READ cq ")
    assert query.call == wire_reader.Prepare("s1", shape)


def test_longest_message_is_read():
    head = b"QUERY 1 READ "
    line = head + b"a" * (MAX_BYTES - len(head) - 2) + b"\r\n"
    assert wire_reader.read_client_request(line)


def _upstream_talk():
    checked = judge.Judge(
        sees_clients=False, client_of_id=lambda text: text.partition(".")[0]
    )
    talk = judged_conversation.Conversation(checked)
    talk.connect("u", "v")
    return talk


def test_upstream_side_alone_breaks_nothing():
    talk = _upstream_talk()
    talk.run("u", "- SET x 1")
    talk.run("u", "A.1 BEGIN", state="T")
    talk.run("v", "B.1 WRITE a 1")
    talk.run("u", "A.2 READ a", state="T")
    talk.run("u", "A.3 COMMIT")
    talk.run("u", "B.2 READ a")
    talk.run("u", "- STATUS", "ROW replica 3 3.1209 0 12 2 17", "COMPLETE -")
    assert not talk.judge.violations


def test_upstream_side_alone_finds_a_statement_in_another_transaction():
    talk = _upstream_talk()
    talk.run("u", "A.1 BEGIN", state="T")
    talk.run("u", "B.1 READ a", state="T")
    assert talk.rules() == {judge_rules.Rule.PINNED}


@pytest.mark.parametrize(
    "text", ["- READ a", "- COMMIT", "A.1 READ", "A.1 READ a\nQUERY b READ c"]
)
def test_upstream_side_alone_finds_bad_lines_and_own_statements(text):
    talk = _upstream_talk()
    talk.judge.upstream_received("u", f"QUERY {text}\r\n".encode())
    assert talk.rules() == {judge_rules.Rule.UNASKED}


# Failure: a shape with blanks became a part of the name at the upstream, so a
# prepared read got arguments beside its item.
@pytest.mark.parametrize(
    ("kind", "arguments"), [("READ", "READ cq it0"), ("WRITE", "it0")]
)
def test_upstream_side_alone_finds_other_arguments(kind, arguments):
    talk = _upstream_talk()
    talk.run("u", f"- PREPARE r.q5 {kind} q5")
    talk.run("u", f"A.1 EXECUTE r.q5 {arguments}")
    assert talk.rules() == {judge_rules.Rule.UNASKED}


def test_memory_is_bounded():
    checked = judge.Judge(max_finished=100)
    talk = judged_conversation.Conversation(checked)
    for number in range(1000):
        client, conn = f"c{number}", f"u{number}"
        talk.open(client)
        talk.connect(conn)
        talk.serve(client, conn, "WRITE a 1", f"r{number}")
        talk.send(client, "READ a")
        talk.judge.client_closed(client)
        talk.judge.upstream_closed(conn)
    assert not checked.violations
    assert checked.kept_counts() == judge_records.KeptCounts(0, 0, 100)
    for _ in range(3000):
        talk.judge.upstream_received("u", b"QUERY - COMMIT\r\n")
    assert checked.violation_count == 3000
    assert len(checked.violations) == judge.MAX_KEPT_VIOLATIONS
