"""Tests of the operators' language: parsing, errors, completion, output."""

import string

import pytest
from hypothesis import given, seed
from hypothesis import strategies as st

from fescueshunt import errors
from fescueshunt.core import statement_text, statements
from fescueshunt_cli._internal.language import complete, output, parse

COLUMN = st.text(string.ascii_lowercase + "_", min_size=1, max_size=8)
NAME = st.text(min_size=1, max_size=12)
VALUE = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(10**9), 10**9),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=12),
)
SHARE = st.floats(0, 1)
SHARES = st.lists(st.tuples(NAME, SHARE), min_size=1, max_size=3).map(tuple)
FIELDS = st.lists(
    st.builds(statements.Field, COLUMN, VALUE), min_size=1, max_size=3
).map(tuple)
SHOW = st.builds(
    statements.Show,
    st.sampled_from(statements.Subject),
    st.lists(
        st.builds(
            statements.Condition,
            COLUMN,
            st.sampled_from(statements.Comparison),
            VALUE,
        ),
        max_size=3,
    ).map(tuple),
    st.lists(
        st.builds(statements.Order, COLUMN, st.booleans()), max_size=2
    ).map(tuple),
    st.none() | st.integers(0, 1000),
)
EXPLAIN = st.builds(statements.Explain, st.sampled_from(statements.Event), NAME)
CLAUSES = {
    "dry_run": st.booleans(),
    "if_revision": st.none() | st.integers(0, 1000),
    "author": st.text(max_size=12),
    "reason": st.text(max_size=12),
}
V, K = statements.Verb, statements.Kind
ENTRY = st.sampled_from([K.RANK, K.SERVICE, K.GROUP])


def build_changes(verbs, kinds, **arguments):
    return st.builds(
        statements.Change,
        st.sampled_from(verbs),
        kinds if isinstance(kinds, st.SearchStrategy) else st.just(kinds),
        **{**CLAUSES, **arguments},
    )


CHANGE = st.one_of(
    build_changes([V.CREATE, V.SET], ENTRY, name=NAME, fields=FIELDS),
    build_changes([V.DROP, V.CONFIRM, V.WITHDRAW], K.DAY, name=NAME),
    build_changes(
        [V.DECLARE, V.SET], K.DAY, name=NAME, fields=FIELDS, floors=SHARES
    ),
    build_changes([V.SET], K.FLOORS, floors=SHARES),
    build_changes(
        [V.DRAIN, V.UNDRAIN],
        st.sampled_from([K.HOST, K.UPSTREAM]),
        name=NAME,
    ),
    build_changes(
        [V.MOVE],
        K.DAY,
        name=NAME,
        fields=st.tuples(
            st.builds(statements.Field, st.just("date"), st.text(max_size=12))
        ),
    ),
    build_changes([V.ROLL_FORWARD], K.SETTINGS, target=st.integers(0, 1000)),
)


@seed(1)
@given(SHOW | EXPLAIN | CHANGE)
def test_parsing_a_formatted_statement_returns_the_statement(statement):
    text = statement_text.format_statement(statement)
    assert parse.parse_line(text).statement == statement
    assert (
        parse.parse_script(f"{text};\n{text};")
        == [parse.ParsedStatement(statement)] * 2
    )


@seed(2)
@given(st.text(max_size=60))
def test_any_text_parses_or_raises_an_error_with_its_position(text):
    try:
        parse.parse_line(text)
    except errors.StatementSyntaxError as exc:
        assert exc.detail.startswith("line ")
        assert "^ expected " in exc.detail


INVALID_TEXTS = [
    "SHOW upstrems",
    "SHOW upstreams WHERE",
    "SHOW ranks LIMIT -1",
    "SET RANK urgent floor 0.5",
    "DRAIN",
    "MOVE DAY eid TO tomorrow-ish 3",
    "SET RANK\n  urgent floor = = 2",
    "SHOW ranks $",
]


@pytest.mark.parametrize("text", INVALID_TEXTS)
def test_errors_show_place_and_expectation(text, snapshot):
    with pytest.raises(errors.StatementSyntaxError) as caught:
        parse.parse_line(text)
    assert caught.value.detail == snapshot


def test_completion_suggests_what_the_grammar_permits():
    assert complete.suggest("SHOW up") == ["UPSTREAMS"]
    assert complete.suggest("show upstreams where la") == ["lag"]
    assert complete.suggest("DRAIN ") == ["HOST", "UPSTREAM"]
    assert complete.suggest("SHOW nonsense ") == []


def test_formats_hold_the_same_rows(snapshot):
    table = statements.Table(
        ("name", "lag"), (("renew-1-a", 0), ("renew, 'b'", None))
    )
    for form in parse.Format:
        assert output.format_table(table, form) == snapshot(name=form.value)
