"""Tests of the validation of settings files, and of the example files."""

import tomllib
from pathlib import Path

import pytest

from ebonyshore.frame.errors import SettingsError
from ebonyshore.frame.process_settings import load_settings
from ebonyshore.settings.settings_tree import SettingsTree, find_tree_faults

EXAMPLES = Path(__file__).parent.parent / "examples"
VALID = (EXAMPLES / "men-song" / "entry.toml").read_text(encoding="utf-8")


def load_faults(tmp_path: Path, text: str) -> list[str]:
    """Return the faults, without the file name, that loading a file with ``text`` raises."""
    path = tmp_path / "settings.toml"
    path.write_text(text, encoding="utf-8")
    with pytest.raises(SettingsError) as error:
        load_settings(path)
    lines = error.value.detail.splitlines()
    assert all(line.startswith(f"{path}: ") for line in lines)
    return [line.removeprefix(f"{path}: ") for line in lines]


@pytest.mark.parametrize(
    "path",
    sorted(EXAMPLES.glob("*/[ea]*.toml")),
    ids=lambda path: f"{path.parent.name}-{path.stem}",
)
def test_example_is_valid(path: Path) -> None:
    settings = load_settings(path)
    assert (settings.target is not None) == (path.stem == "agent")


@pytest.mark.parametrize("user", ["men-song", "saurashtra"])
def test_example_tree_is_valid_and_has_the_models_of_the_example_agent(user: str) -> None:
    nodes = tomllib.loads((EXAMPLES / user / "tree.toml").read_text(encoding="utf-8"))
    assert find_tree_faults(nodes) == []
    agent = load_settings(EXAMPLES / user / "agent.toml")
    tree = SettingsTree(1, nodes)
    assert set(agent.target.models) <= set(tree.models())
    assert not tree.root().allows_anonymous_callers


def test_all_faults_are_reported_at_once(tmp_path: Path) -> None:
    """Guards against a check that stops at the first fault, which makes an operator load the file
    again for each further fault."""
    text = VALID.replace("port = 8080", 'port = "x"').replace('"da-lat-a"', '"da lat"')
    text = text.replace('"replace-this-operator-token"', '"short"')
    text = text.replace('"tcp://10.20.2.21:7100"', '"10.20.2.21"')
    text = text.replace("permit_interval_ms = 10000", "permit_interval_ms = 30000\nshards = 1")
    text = text.replace("[drain]\nbound_ms = 60000", "[drain]\nbound_ms = 1000")
    text = text.replace('instance_id = "men-song-entry-1"\n', "")
    lines = load_faults(tmp_path, text)
    assert lines == [
        "instance.instance_id: found nothing; allowed: a text of 1 to 100 characters that matches "
        "^[A-Za-z0-9][A-Za-z0-9._-]*$",
        "instance.failure_domain: found 'da lat'; allowed: a text of 1 to 100 characters that "
        "matches ^[A-Za-z0-9][A-Za-z0-9._-]*$",
        "admin.operator_token: found another value; allowed: a text of at least 16 characters",
        "http.port: found 'x'; allowed: an integer from 1 to 65535",
        "peers.agent_addresses[1]: found '10.20.2.21'; allowed: a text that matches "
        "^tcp://([0-9]{1,3}\\.){3}[0-9]{1,3}:[0-9]{1,5}$",
        "batch.shards: found an unknown key; allowed: is_runner, shard_items, lease_interval_ms, "
        "checkpoint_interval_ms, permit_interval_ms, index_buckets, poll_interval_ms, max_shards, "
        "window_items",
        "drain.bound_ms: found 1000; allowed: at least the default request timeout, 30000, because "
        "a planned stop would cut off requests",
    ]


@pytest.mark.parametrize(
    ("old", "new", "key_path"),
    [
        ("lease_interval_ms = 20000", "lease_interval_ms = 5000", "batch.lease_interval_ms"),
        ("lease_interval_ms = 20000", "lease_interval_ms = 6000", "batch.lease_interval_ms"),
        ("permit_interval_ms = 10000", "permit_interval_ms = 20001", "batch.permit_interval_ms"),
        ("bound_ms = 60000", "bound_ms = 29999", "drain.bound_ms"),
        ("port = 8081", "port = 8080", "http.port"),
        ("tcp://10.20.3.21:7100", "tcp://10.20.1.21:7100", "peers.agent_addresses[2]"),
    ],
)
def test_invalid_combination_is_reported(tmp_path: Path, old: str, new: str, key_path: str) -> None:
    lines = load_faults(tmp_path, VALID.replace(old, new))
    assert key_path in [line.split(": ")[0] for line in lines]


def test_missing_file_and_invalid_toml_are_reported(tmp_path: Path) -> None:
    assert "not valid TOML" in load_faults(tmp_path, "[instance")[0]
    with pytest.raises(SettingsError, match="No such file"):
        load_settings(tmp_path / "missing.toml")


def test_section_of_the_wrong_type_is_reported(tmp_path: Path) -> None:
    lines = load_faults(tmp_path, "batch = 3\n" + VALID.split("[batch]")[0])
    assert lines[0].startswith("batch: found 3; allowed: a table with is_runner,")
