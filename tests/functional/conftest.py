"""The world of two proxies that the promises of requests are shown in."""

import pytest

from lib import scenarios, world


@pytest.fixture(name="played")
def _played():
    return world.World()


@pytest.fixture(name="home")
def _home(played):
    return scenarios.home_of(played)[0]


@pytest.fixture(name="other")
def _other(played):
    return scenarios.home_of(played)[1]
