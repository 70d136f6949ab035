"""The command line for operators, run against a fleet of real processes."""

import os
import subprocess
import sys

import pytest
from msgspec.json import decode

from ebonyshore.frame.result_codes import ResultCode
from ebonyshore_standins.local_fleet import OPERATOR_TOKEN, LocalFleet

COMMANDS = ("request", "targets", "drain", "dump", "audit", "check-settings", "tier")


def run_cli(fleet: LocalFleet | None, *arguments: str) -> subprocess.CompletedProcess[str]:
    environment = {**os.environ, "EBONYSHORE_TOKEN": OPERATOR_TOKEN, "COLUMNS": "100"}
    if fleet is not None:
        environment["EBONYSHORE_ADMIN"] = fleet.entries[0].admin.url
        environment["EBONYSHORE_ENTRY"] = fleet.entries[0].url
    command = [sys.executable, "-m", "ebonyshore", *arguments]
    return subprocess.run(command, capture_output=True, text=True, env=environment, timeout=60)


@pytest.mark.parametrize("command", COMMANDS)
def test_command_has_help(command: str) -> None:
    result = run_cli(None, command, "--help")
    assert result.returncode == 0
    assert "Usage" in result.stdout


def test_request_prints_the_generated_text(fleet: LocalFleet) -> None:
    result = run_cli(fleet, "request", "reader", "hello", "--max-tokens", "5")
    assert result.returncode == 0
    assert len(result.stdout.split()) == 5


def test_exit_status_is_the_result_code(fleet: LocalFleet) -> None:
    result = run_cli(fleet, "request", "missing", "hello")
    assert result.returncode == ResultCode.UNKNOWN_MODEL
    assert "no tier serves this model: missing" in result.stderr


def test_wrong_operator_token_is_refused(fleet: LocalFleet) -> None:
    result = run_cli(fleet, "targets", "--token", "wrong")
    assert result.returncode == ResultCode.UNAUTHENTICATED


def test_error_names_the_process_that_does_not_respond() -> None:
    result = run_cli(None, "dump", "http://127.0.0.1:9")
    assert result.returncode == ResultCode.NOT_READY
    assert "127.0.0.1:9" in result.stderr


def test_targets_and_tiers_are_listed(fleet: LocalFleet) -> None:
    assert "target-1" in run_cli(fleet, "targets").stdout
    tiers = decode(run_cli(fleet, "tier", "list", "--json").stdout)
    assert tiers == {"care": ["labels", "reader", "writer"]}
    assert "harm_first" in run_cli(fleet, "tier", "show", "care").stdout


def test_second_creation_of_a_tier_is_refused(fleet: LocalFleet) -> None:
    first = run_cli(fleet, "tier", "create", "spare", "--model", "spare-model")
    second = run_cli(fleet, "tier", "create", "spare", "--model", "spare-model")
    assert first.returncode == 0
    assert second.returncode == ResultCode.SETTINGS_CONFLICT


def test_dump_contains_the_services_of_an_agent(fleet: LocalFleet) -> None:
    state = decode(run_cli(fleet, "dump", fleet.targets[0].admin.url).stdout)
    assert {"agent-server", "dispatcher"} <= set(state["services"])
    assert state["role"] == "agent"


def test_audit_of_an_empty_store_succeeds(fleet: LocalFleet) -> None:
    result = run_cli(fleet, "audit")
    assert result.returncode == 0
    assert result.stdout.startswith("audit: jobs=")
