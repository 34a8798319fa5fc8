"""A client's requests take effect in order, one at a time."""

from __future__ import annotations

from fescueshunt.core import session_items, sessions
from fescueshunt.sessions import sequencer

CLIENT = 1
OTHER = 2


def _statement(
    at: float, name: str, client: int = CLIENT
) -> session_items.StatementReceived:
    statement = sessions.Statement(name, sessions.Verb.READ, "READ x", "x")
    return session_items.StatementReceived(at, client, statement)


def _answer(at: float, name: str) -> session_items.SendSessionAnswer:
    return session_items.SendSessionAnswer(
        at, CLIENT, name, sessions.SessionAnswer()
    )


def test_next_statement_waits_for_the_answer_and_takes_its_time():
    stage = sequencer.RequestSequencer()
    first, second = _statement(1.0, "a"), _statement(1.1, "b")
    assert list(stage.process(first)) == [first]
    assert list(stage.process(second)) == [
        session_items.PauseClient(1.1, CLIENT)
    ]
    assert list(stage.process(_answer(2.0, "a"))) == [
        session_items.ResumeClient(2.0, CLIENT),
        _statement(2.0, "b"),
    ]
    last_answer = _answer(3.0, "b")
    assert list(stage.process(last_answer)) == [last_answer]


# A client that ended its session behind a statement lost that statement's
# answer.
def test_end_of_session_waits_for_all_statements_before_it():
    stage = sequencer.RequestSequencer()
    list(stage.process(_statement(1.0, "a")))
    list(stage.process(_statement(1.0, "b")))
    list(stage.process(session_items.SessionClosed(1.0, CLIENT)))
    assert list(stage.process(_answer(2.0, "a"))) == [_statement(2.0, "b")]
    assert list(stage.process(_answer(3.0, "b"))) == [
        session_items.ResumeClient(3.0, CLIENT),
        session_items.SessionClosed(3.0, CLIENT),
    ]


def test_malformed_request_waits_for_the_statement_before_it():
    stage = sequencer.RequestSequencer()
    list(stage.process(_statement(1.0, "a")))
    list(stage.process(session_items.RequestMalformed(1.0, CLIENT, "bad")))
    assert session_items.RequestMalformed(2.0, CLIENT, "bad") in list(
        stage.process(_answer(2.0, "a"))
    )


def test_clients_do_not_wait_for_each_other():
    stage = sequencer.RequestSequencer()
    list(stage.process(_statement(1.0, "a")))
    other = _statement(1.0, "b", OTHER)
    assert list(stage.process(other)) == [other]


def test_requests_of_a_lost_connection_are_dropped():
    stage = sequencer.RequestSequencer()
    list(stage.process(_statement(1.0, "a")))
    list(stage.process(_statement(1.0, "b")))
    lost = session_items.ClientDisconnected(1.5, CLIENT)
    assert list(stage.process(lost)) == [lost]
    answer = _answer(2.0, "a")
    assert list(stage.process(answer)) == [answer]
