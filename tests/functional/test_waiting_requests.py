"""Requests that wait for an upstream while its state changes, simulated."""

import dataclasses

import pytest

from fescueshunt import errors
from fescueshunt.core import items, request, upstream
from fescueshunt.health import poller
from lib import scenarios, simulated_network, simulated_settings

Kind = request.Kind


def write_phase(message):
    """Returns the phase of a write that a call or a reply belongs to."""
    match message:
        case upstream.Execute(mode=upstream.Mode.BEGIN):
            return "open"
        case upstream.Executed(results=results) if len(results) == 1:
            return "committed"
        case _:
            return ""


# Guards against reads that a planned stop refuses although their upstreams run,
# since a busy home has had no status of them for a moment.
def test_session_reads_its_write_after_statuses_were_missing(
    cluster, home, other
):
    token = cluster.execute(
        home, scenarios.write_request(cluster, "mine")
    ).token
    cluster.delivery_hook = lambda message: [] if message is None else None
    cluster.run(poller.CALL_TIMEOUT_S + 0.3)
    seqs = [
        (
            name,
            cluster.send(name, 1, scenarios.read_request(cluster, after=token)),
        )
        for name in (home, other)
    ]
    cluster.run(0.2)
    cluster.delivery_hook = lambda _: None
    cluster.run(3.0)
    answers = [cluster.answers[name, 1, seq] for name, seq in seqs]
    assert [answer.error for answer in answers] == [None, None]
    assert [answer.results[0].rows for answer in answers] == [(("mine",),)] * 2


# Guards against requests that are never answered because an operator removed
# the database, or the upstream, that they wait for.
@pytest.mark.parametrize("removed", ["database", "upstream"])
@pytest.mark.parametrize("kind", [Kind.WRITE, Kind.READ])
def test_requests_that_wait_for_what_is_removed_are_answered(
    cluster, kind, removed
):
    make_request = {
        Kind.WRITE: lambda: scenarios.write_request(cluster, "waits"),
        Kind.READ: lambda: scenarios.read_request(cluster),
    }[kind]
    for upstream_name in cluster.upstreams:
        cluster.upstreams[upstream_name].alive = False
    cluster.run(2.0)
    seqs = [
        (name, cluster.send(name, 1, make_request()))
        for name in cluster.proxies
    ]
    cluster.run(0.1)
    database = cluster.settings.databases[0]
    kept = dataclasses.replace(database, upstreams=database.upstreams[1:])
    settings = dataclasses.replace(
        cluster.settings,
        revision=2,
        databases=() if removed == "database" else (kept,),
    )
    for name in cluster.proxies:
        cluster.feed(name, items.SettingsRead(cluster.now, settings, 2))
    cluster.run(6.0)
    answers = [cluster.answers.get((name, 1, seq)) for name, seq in seqs]
    assert all(answer and answer.error for answer in answers)


# Guards against writes whose outcome stays unknown because they wait for calls
# to a primary that has fallen silent, although another one has been promoted.
@pytest.mark.parametrize("lost", ["open", "committed"])
def test_writes_at_a_silent_primary_run_at_the_promoted_one(
    cluster, home, lost
):
    silenced = cluster.primary()

    def silence(message):
        if write_phase(message) == lost:
            silenced.alive = False
        return None if silenced.alive else []

    cluster.delivery_hook = silence
    slots = simulated_settings.SETTINGS.groups[0].slots
    tags = [f"write-{number}" for number in range(2 * slots)]
    seqs = [
        cluster.send(home, 1, scenarios.write_request(cluster, tag, caller=tag))
        for tag in tags
    ]
    while silenced.alive:
        cluster.run(simulated_network.HOP_DELAY_S)
    cluster.delivery_hook = lambda _: None
    while cluster.primary() is silenced:
        cluster.run(simulated_network.HOP_DELAY_S)
    cluster.run(simulated_settings.SETTINGS.ranks[0].target_s)
    answers = [cluster.answers.get((home, 1, seq)) for seq in seqs]
    outcomes = [answer and answer.outcome for answer in answers]
    assert outcomes == [errors.Outcome.DONE] * len(tags)
    assert sorted(cluster.rows()) == sorted(tags)
