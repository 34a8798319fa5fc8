"""Tests of the operators pipe: changes, access control and SHOW."""

import dataclasses

import pytest

from fescueshunt import errors
from fescueshunt.core import (
    document,
    filters,
    identity,
    items,
    statements,
    validation,
    views,
)
from fescueshunt.operators import pipe
from fescueshunt_cli._internal.language import parse
from fescueshunt_wire import codec
from lib import simulated_settings

LOCAL_PROXY = identity.Identity("p0", "zone-a", "")
INITIAL_SETTINGS = dataclasses.replace(
    simulated_settings.SETTINGS,
    calendar=(
        document.CalendarDay(
            "eid", "2027-03-10", "Asia/Muscat", document.DayState.DECLARED
        ),
    ),
)


class Store:
    """A store with compare-and-swap that can lose answers or be down."""

    def __init__(self):
        self.revisions = [document.Document(), INITIAL_SETTINGS]
        self.answers_to_lose = 0
        self.down = False
        self.revisions_behind = 0

    @property
    def newest(self):
        return self.revisions[-1]

    def swap(self, item):
        try:
            codec.encode_document(item.document)
        except errors.SettingsError as exc:
            return items.SettingsSwapFailed(
                item.at, item.document.operation, exc
            )
        if self.down:
            return items.SettingsSwapFailed(
                item.at, item.document.operation, errors.StoreUnavailableError()
            )
        done = item.expected == self.newest.revision
        if done:
            self.revisions.append(item.document)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            return items.SettingsSwapFailed(
                item.at, item.document.operation, errors.StoreUnavailableError()
            )
        return items.SettingsSwapped(
            item.at, item.document.operation, done, self.newest.revision
        )

    def read(self, item):
        if self.down:
            error = errors.StoreUnavailableError()
            return items.StoreReadFailed(item.at, item.operation, error)
        if isinstance(item, items.ReadArchive):
            stored = self.revisions[item.revision]
            return items.ArchiveRead(item.at, item.operation, stored)
        stored = self.revisions[len(self.revisions) - 1 - self.revisions_behind]
        return items.BackRead(item.at, item.operation, stored)


class Proxy:
    """A proxy that runs only the operators pipe, connected to a store."""

    def __init__(self, store):
        self.store = store
        self.now = 10.0
        self.answers = []
        self.accepted_revisions = []
        self.swaps = 0
        self.core = filters.Core((pipe.build(LOCAL_PROXY),))
        self.feed(views.SettingsView(self.now, store.newest))

    def feed(self, item):
        for effect in list(self.core.feed(item)):
            match effect:
                case items.AnswerOperator():
                    self.answers.append(effect.answer)
                case items.SwapSettings():
                    self.swaps += 1
                    self.feed(self.store.swap(effect))
                case items.ReadBack() | items.ReadArchive():
                    self.feed(self.store.read(effect))
                case items.SettingsAccepted():
                    self.accepted_revisions.append(effect.document.revision)
                    view = views.SettingsView(self.now, effect.document)
                    self.feed(view)

    def ask(self, text, operation=b"o" * 16, may_change=True):
        statement = parse.parse_line(text).statement
        if isinstance(statement, statements.Change):
            statement = dataclasses.replace(statement, operation=operation)
        self.feed(
            items.OperatorAsked(
                self.now, 1.8e9, 1, 1, "amina", may_change, statement
            )
        )
        return self.answers[-1] if self.answers else None

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += 0.1
            self.feed(filters.Tick(self.now, self.now))


def test_a_change_is_accepted_when_it_is_in_the_store():
    store = Store()
    answer = Proxy(store).ask("CONFIRM DAY eid BY noor BECAUSE 'moon seen'")
    assert (answer.revision, answer.error) == (2, None)
    assert answer.table.rows == (
        ("calendar.eid", "state", "declared", "confirmed"),
    )
    entry = store.newest.history[-1]
    assert (entry.operator, entry.author) == ("amina", "noor")
    assert entry.statement == "CONFIRM DAY 'eid'"


def test_a_lost_answer_is_resolved_by_reading_the_store_back():
    store = Store()
    store.answers_to_lose = 1
    proxy = Proxy(store)
    assert proxy.ask("CONFIRM DAY eid") is None
    proxy.run(1.0)
    assert proxy.answers[-1].revision == 2
    assert proxy.swaps == 1
    assert len(store.revisions) == 3


def test_a_swap_that_did_not_reach_the_store_is_sent_again():
    store = Store()
    store.down = True
    proxy = Proxy(store)
    assert proxy.ask("CONFIRM DAY eid") is None
    store.down = False
    proxy.run(1.0)
    assert proxy.answers[-1].revision == 2
    assert proxy.swaps == 2


def test_a_lost_answer_is_resolved_despite_stale_reads():
    store = Store()
    store.answers_to_lose = 1
    store.revisions_behind = 1
    proxy = Proxy(store)
    proxy.ask("CONFIRM DAY eid")
    proxy.run(1.0)
    store.revisions_behind = 0
    proxy.run(1.0)
    assert proxy.answers[-1].revision == 2
    assert len(store.revisions) == 3
    assert proxy.swaps < 10


def test_an_outcome_that_cannot_be_determined_is_unknown():
    store = Store()
    store.down = True
    proxy = Proxy(store)
    proxy.ask("CONFIRM DAY eid")
    proxy.run(6.0)
    assert isinstance(proxy.answers[-1].error, errors.StoreUnavailableError)
    assert proxy.answers[-1].error.outcome is errors.Outcome.UNKNOWN


def test_the_second_of_two_concurrent_changes_gets_a_conflict():
    store = Store()
    first, second = Proxy(store), Proxy(store)
    first.ask("CONFIRM DAY eid BY noor BECAUSE 'moon seen'", b"1" * 16)
    answer = second.ask("WITHDRAW DAY eid", b"2" * 16)
    assert isinstance(answer.error, errors.RevisionConflictError)
    assert answer.conflict.revision == 2
    assert answer.conflict.author == "noor"
    assert answer.conflict.reason == "moon seen"
    assert store.newest.calendar[0].state is document.DayState.CONFIRMED
    assert second.accepted_revisions == [2]


def test_a_repeated_operation_takes_effect_once():
    store = Store()
    proxy = Proxy(store)
    proxy.ask("CONFIRM DAY eid", b"1" * 16)
    proxy.ask("WITHDRAW DAY eid", b"2" * 16)
    assert proxy.ask("CONFIRM DAY eid", b"1" * 16).revision == 2
    assert store.newest.revision == 3
    assert store.newest.calendar[0].state is document.DayState.WITHDRAWN


def test_a_lost_answer_is_resolved_after_a_later_change():
    store = Store()
    store.answers_to_lose = 1
    proxy = Proxy(store)
    proxy.ask("CONFIRM DAY eid", b"1" * 16)
    Proxy(store).ask("DRAIN HOST p3", b"2" * 16)
    proxy.run(1.0)
    assert (proxy.answers[-1].revision, proxy.answers[-1].error) == (2, None)
    assert store.newest.revision == 3
    assert proxy.accepted_revisions == [3]


def test_expected_revision_and_dry_run():
    store = Store()
    proxy = Proxy(store)
    answer = proxy.ask("CONFIRM DAY eid IF REVISION 7")
    assert isinstance(answer.error, errors.RevisionConflictError)
    answer = proxy.ask("CONFIRM DAY eid IF REVISION 1 DRY RUN")
    assert (answer.revision, answer.error) == (0, None)
    assert len(answer.table.rows) == 1
    assert store.newest.revision == 1


def test_roll_forward_restores_old_content_as_a_new_revision():
    store = Store()
    proxy = Proxy(store)
    proxy.ask("CONFIRM DAY eid", b"1" * 16)
    proxy.ask("DRAIN HOST p3", b"2" * 16)
    answer = proxy.ask("ROLL FORWARD TO 1", b"3" * 16)
    assert answer.revision == 4
    assert store.newest.calendar == INITIAL_SETTINGS.calendar
    assert store.newest.draining_hosts == ()
    assert [entry.revision for entry in store.newest.history] == [2, 3, 4]


def test_invalid_settings_are_refused_with_all_problems():
    store = Store()
    answer = Proxy(store).ask(
        "SET DAY eid zone = 'Asia/Nowhere', date = '2027-02-30' "
        "FLOORS urgent = 0.9, bulk = 0.2, gone = 0.1"
    )
    assert isinstance(answer.error, errors.SettingsError)
    assert [row[1] for row in answer.table.rows] == [
        "date",
        "zone",
        "floors",
        "floors",
    ]
    assert store.newest.revision == 1


INVALID_CHANGES = [
    "SET RANK gone floor = 0.1",
    "SET RANK urgent colour = 'red'",
    "SET RANK urgent floor = 'much'",
    "CREATE RANK late order = 5",
    "CREATE RANK urgent order = 5",
    "CREATE SERVICE s group = group, rank = gone",
    "SET FLOORS gone = 0.1",
    "DROP GROUP group",
    "DRAIN UPSTREAM gone",
    "SET SERVICE pay durability = 'sometimes'",
    "ROLL FORWARD TO 9",
    "SET RANK urgent worth = 1e300",
]


@pytest.mark.parametrize("text", INVALID_CHANGES)
def test_an_invalid_change_is_refused(text):
    store = Store()
    answer = Proxy(store).ask(text)
    assert isinstance(answer.error, errors.SettingsError)
    assert store.newest.revision == 1


def test_the_last_upstream_of_a_database_cannot_be_drained():
    store = Store()
    proxy = Proxy(store)
    assert proxy.ask("DRAIN UPSTREAM 'db-0'", b"1" * 16).revision == 2
    assert proxy.ask("DRAIN UPSTREAM 'db-1'", b"2" * 16).revision == 3
    answer = proxy.ask("DRAIN UPSTREAM 'db-2'", b"3" * 16)
    assert isinstance(answer.error, errors.SettingsError)
    assert proxy.ask("UNDRAIN UPSTREAM 'db-0'", b"4" * 16).revision == 4


def test_a_read_only_operator_cannot_change_settings():
    store = Store()
    proxy = Proxy(store)
    answer = proxy.ask("CONFIRM DAY eid", may_change=False)
    assert isinstance(answer.error, errors.AccessDeniedError)
    assert store.newest.revision == 1
    assert proxy.ask("SHOW calendar", may_change=False).error is None


def test_listings_filter_order_and_limit():
    proxy = Proxy(Store())
    answer = proxy.ask("SHOW ranks WHERE floor < 1 ORDER BY floor LIMIT 1")
    assert answer.table.rows[0][0] == "bulk"
    answer = proxy.ask("SHOW services WHERE name LIKE '%o%' AND writes = false")
    assert [row[0] for row in answer.table.rows] == ["look", "old"]
    answer = proxy.ask("SHOW services WHERE colour = 1")
    assert isinstance(answer.error, errors.RequestInvalidError)


def test_the_initial_settings_are_valid():
    assert validation.find_problems(INITIAL_SETTINGS) == ()
