"""Tests of the surge calendar."""

import dataclasses
import datetime

import pytest

from fescueshunt.core import document, filters, views
from fescueshunt.request import surge

EID = document.CalendarDay(
    "eid",
    "2027-03-10",
    "Asia/Muscat",
    document.DayState.CONFIRMED,
    lead_s=7200.0,
    floors=(("urgent", 0.6), ("history", 0.05)),
    warm=0.8,
)


def utc(*parts):
    return datetime.datetime(*parts, tzinfo=datetime.UTC).timestamp()


# Muscat is four hours ahead of UTC: the day begins at 20:00 UTC.
@pytest.mark.parametrize(
    ("wall_s", "expected"),
    [
        (utc(2027, 3, 9, 17, 59, 59), False),
        (utc(2027, 3, 9, 18, 0), True),
        (utc(2027, 3, 10, 19, 59, 59), True),
        (utc(2027, 3, 10, 20, 0), False),
    ],
)
def test_a_confirmed_day_is_on_from_its_lead_until_its_midnight(
    wall_s, expected
):
    assert surge.is_active(EID, wall_s) is expected


def test_a_day_of_a_change_of_clocks_has_its_own_length():
    day = dataclasses.replace(EID, date="2027-03-28", zone="Europe/Bratislava")
    start_s, end_s = surge.day_bounds(day)
    assert end_s - start_s == 23 * 3600


@pytest.mark.parametrize(
    "changes",
    [
        {"state": document.DayState.DECLARED},
        {"state": document.DayState.WITHDRAWN},
        {"zone": "Asia/Nowhere"},
        {"date": "2027-02-30"},
    ],
)
def test_only_confirmed_days_that_exist_count(changes):
    day = dataclasses.replace(EID, **changes)
    assert not surge.is_active(day, utc(2027, 3, 10, 6))


def test_overlapping_days_never_promise_more_than_the_whole():
    other = dataclasses.replace(
        EID, name="sale", floors=(("gate", 0.6),), warm=0.5
    )
    view = surge.build_view([EID, other], utc(2027, 3, 10, 6))
    assert view.days == ("eid", "sale")
    assert sum(floor for _, floor in view.floors) <= 1.0
    assert view.warm == 0.8


def feed(found, item):
    return [
        leaving
        for leaving in found.process(item)
        if isinstance(leaving, surge.SurgeView)
    ]


def test_a_day_confirmed_late_moved_and_withdrawn_changes_the_view():
    found = surge.Surge()
    wall_s = utc(2027, 3, 9, 19)

    def settings(*days):
        return views.SettingsView(1.0, document.Document(calendar=days))

    declared = dataclasses.replace(EID, state=document.DayState.DECLARED)
    assert feed(found, settings(declared)) == []
    assert feed(found, filters.Tick(1.0, wall_s)) == []
    confirmed = feed(found, settings(EID))
    assert [view.days for view in confirmed] == [("eid",)]
    moved = dataclasses.replace(EID, date="2027-03-11")
    assert [view.days for view in feed(found, settings(moved))] == [()]
    assert [v.days for v in feed(found, settings(EID))] == [("eid",)]
    withdrawn = dataclasses.replace(EID, state=document.DayState.WITHDRAWN)
    assert [v.floors for v in feed(found, settings(withdrawn))] == [()]


def test_the_view_reverts_after_the_day():
    found = surge.Surge()
    list(
        found.process(
            views.SettingsView(0.0, document.Document(calendar=(EID,)))
        )
    )
    on = feed(found, filters.Tick(1.0, utc(2027, 3, 10, 6)))
    off = feed(found, filters.Tick(2.0, utc(2027, 3, 10, 20)))
    assert dict(on[0].floors)["urgent"] == 0.6
    assert off[0].floors == ()
    assert off[0].warm == 0.0
