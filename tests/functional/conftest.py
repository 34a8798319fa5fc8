"""Fixtures: a simulated cluster, its home proxy and its other proxy."""

import pytest

from lib import scenarios, simulation


@pytest.fixture(name="cluster")
def _cluster():
    return simulation.SimulatedCluster()


@pytest.fixture(name="home")
def _home(cluster):
    return scenarios.find_home(cluster)[0]


@pytest.fixture(name="other")
def _other(cluster):
    return scenarios.find_home(cluster)[1]
