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


def utc(*date_parts):
    return datetime.datetime(*date_parts, tzinfo=datetime.UTC).timestamp()


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
def test_confirmed_day_is_in_force_from_lead_time_until_midnight(
    wall_s, expected
):
    assert surge.is_active(EID, wall_s) is expected


def test_day_of_clock_change_has_23_hours():
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
def test_only_confirmed_and_valid_days_are_in_force(changes):
    day = dataclasses.replace(EID, **changes)
    assert not surge.is_active(day, utc(2027, 3, 10, 6))


def test_floors_of_overlapping_days_add_up_to_one_at_most():
    other = dataclasses.replace(
        EID, name="sale", floors=(("gate", 0.6),), warm=0.5
    )
    view = surge.build_view([EID, other], utc(2027, 3, 10, 6))
    assert view.days == ("eid", "sale")
    assert sum(floor for _, floor in view.floors) <= 1.0
    assert view.min_connection_share == 0.8


def feed(surge_filter, item):
    return [
        output
        for output in surge_filter.process(item)
        if isinstance(output, surge.SurgeView)
    ]


def test_view_changes_when_a_day_is_confirmed_moved_or_withdrawn():
    surge_filter = surge.Surge()
    wall_s = utc(2027, 3, 9, 19)

    def settings(*days):
        return views.SettingsView(1.0, document.Document(calendar=days))

    declared = dataclasses.replace(EID, state=document.DayState.DECLARED)
    assert feed(surge_filter, settings(declared)) == []
    assert feed(surge_filter, filters.Tick(1.0, wall_s)) == []
    confirmed = feed(surge_filter, settings(EID))
    assert [view.days for view in confirmed] == [("eid",)]
    moved = dataclasses.replace(EID, date="2027-03-11")
    assert [view.days for view in feed(surge_filter, settings(moved))] == [()]
    assert [v.days for v in feed(surge_filter, settings(EID))] == [("eid",)]
    withdrawn = dataclasses.replace(EID, state=document.DayState.WITHDRAWN)
    assert [v.floors for v in feed(surge_filter, settings(withdrawn))] == [()]


def test_view_reverts_after_the_day():
    surge_filter = surge.Surge()
    list(
        surge_filter.process(
            views.SettingsView(0.0, document.Document(calendar=(EID,)))
        )
    )
    on = feed(surge_filter, filters.Tick(1.0, utc(2027, 3, 10, 6)))
    off = feed(surge_filter, filters.Tick(2.0, utc(2027, 3, 10, 20)))
    assert dict(on[0].floors)["urgent"] == 0.6
    assert off[0].floors == ()
    assert off[0].min_connection_share == 0.0
