"""Tests of the settings reference page and of the checks of settings files."""

import enum
import pathlib
import re

import msgspec
import pytest

from fescueshunt import errors
from fescueshunt_cli._internal import deployment
from fescueshunt_proxy._internal import access, daemon, settings
from fescueshunt_proxy._internal.hosted import own_settings
from fescueshunt_wire.models import documents

ROOT = pathlib.Path(__file__).resolve().parents[2]
REFERENCE = ROOT / "docs" / "operators" / "settings.md"
MODELS = {
    "[proxy]": settings.ProxySettings,
    "[operator NAME]": access.OperatorSection,
    "[rank NAME]": documents.RankModel,
    "[group NAME]": documents.GroupModel,
    "[upstream NAME]": documents.UpstreamModel,
    "[database NAME]": documents.DatabaseModel,
    "[service NAME]": documents.ServiceModel,
    "[day NAME]": documents.CalendarDayModel,
}
ROW = re.compile(r"^\| `(\w+)` \| (\S+) \| \S", re.MULTILINE)


def format_default(field) -> str:
    if field.is_required():
        return "required"
    if field.default in (None, "", ()):
        return "empty"
    value = field.default
    return f"`{value.value if isinstance(value, enum.Enum) else value}`"


@pytest.mark.parametrize("section", MODELS)
def test_reference_lists_every_field_with_its_default(section):
    parts = re.split(r"^## .*?(\[[^]]+\])$", REFERENCE.read_text(), flags=re.M)
    text = parts[parts.index(section) + 1]
    fields = MODELS[section].model_fields
    expected = {name: format_default(field) for name, field in fields.items()}
    assert dict(ROW.findall(text)) == expected


def test_reference_lists_the_settings_of_a_host():
    parts = re.split(r"^## .*?(\[[^]]+\])$", REFERENCE.read_text(), flags=re.M)
    text = parts[parts.index("[host]") + 1]
    fields = msgspec.structs.fields(own_settings.OperatorSettings)
    expected = {field.name: f"`{field.default}`" for field in fields}
    assert dict(ROW.findall(text)) == expected


def write_file(path: pathlib.Path, text: str) -> pathlib.Path:
    path.write_text(text)
    return path


PROXY = """[proxy]
name = p1
zone = z1
callers = 127.0.0.1:0
peers = 127.0.0.1:7001
platform = 127.0.0.1:7000
"""


def test_check_settings_accepts_a_valid_file(tmp_path):
    path = write_file(tmp_path / "p.ini", PROXY)
    assert daemon.serve(path, check_settings=True) == daemon.SUCCESS


def test_check_settings_reports_every_problem(tmp_path, capsys):
    text = PROXY.replace("p1", "P 1").replace(":7001", "") + "tick_ms = 0\n"
    path = write_file(tmp_path / "p.ini", text)
    code = daemon.serve(path, check_settings=True)
    assert code == daemon.SETTINGS_INVALID
    output = capsys.readouterr().err
    assert output.count("[proxy]") == 3
    assert "name" in output
    assert "peers" in output
    assert "tick_ms" in output


@pytest.mark.parametrize(
    "text",
    [
        "[operator a]\nrole = change\ntoken = short-secret\n",
        "[operator a]\nrole = owner\ntoken = secret-secret-secret\n",
        "[operator a]\nrole = read\ntoken_sha256 = secret\n",
        "[operator a]\nsecret\n",
        "[operator a]\nrole = read\n",
        "[other]\nx = secret\n",
    ],
)
def test_problems_of_the_tokens_file_reveal_no_secret(tmp_path, text, capsys):
    tokens = write_file(tmp_path / "t.ini", text)
    path = write_file(tmp_path / "p.ini", PROXY + f"tokens_file = {tokens}\n")
    code = daemon.serve(path, check_settings=True)
    assert code == daemon.SETTINGS_INVALID
    captured = capsys.readouterr()
    assert captured.err
    assert "secret" not in captured.err + captured.out


def test_deployment_problems_are_all_reported_at_once(tmp_path):
    text = (ROOT / "config" / "sahil-om-muscat.ini").read_text()
    text = text.replace("floor = 0.4", "floor = 0.9")
    text = text.replace("zone = Asia/Muscat", "zone = Asia/Nowhere")
    text = text.replace("rank = gate", "rank = gone")
    path = write_file(tmp_path / "d.ini", text)
    with pytest.raises(errors.InvalidSettingsError) as caught:
        deployment.load(path)
    assert [problem.key for problem in caught.value.problems] == [
        "floor",
        "rank",
        "zone",
    ]
