"""Tests of the load generator's plans, arrival times and samples."""

import pathlib
import random

import pytest

from fescueshunt import errors
from fescueshunt_cli._internal.bench import arrivals, plan, samples

ROOT = pathlib.Path(__file__).resolve().parents[2]


@pytest.mark.parametrize("name", ["svetlokal-sk-west", "sahil-om-muscat"])
def test_bench_plans_load_and_set_rates_of_declared_streams_only(name):
    loaded = plan.load(ROOT / "bench" / f"{name}.ini")
    assert {"calm", "flood-low", "flood-urgent", "lag"} <= set(loaded.phases)
    for phase in loaded.phases.values():
        assert {stream for stream, _ in phase.rates} <= set(loaded.streams)


def test_every_invalid_setting_of_a_plan_is_reported(tmp_path):
    path = tmp_path / "plan.ini"
    path.write_text("[site]\nstatement_ms = -1\n[phase calm]\nspeed = 3\n")
    with pytest.raises(errors.InvalidSettingsError) as caught:
        plan.load(path)
    for key in ("statement_ms", "deployment", "speed"):
        assert key in caught.value.detail


def test_arrival_times_depend_on_the_seed_and_the_rate():
    times = arrivals.poisson(200.0, 10.0, random.Random(7))
    assert times == arrivals.poisson(200.0, 10.0, random.Random(7))
    assert times == sorted(times)
    assert abs(len(times) - 2000) < 200


def test_samples_read_from_a_file_equal_those_written(tmp_path):
    written = [samples.Sample("renew", 1.5, 0.25, "done", True, True, False)]
    samples.write(tmp_path / "out.jsonl", written)
    assert samples.read(tmp_path / "out.jsonl") == written
