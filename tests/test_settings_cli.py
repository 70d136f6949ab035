"""The settings commands against real processes, and process starts during a platform outage."""

import os
import subprocess
import sys
from collections.abc import Iterator
from http.client import HTTPConnection
from pathlib import Path

import pytest
from msgspec import convert
from msgspec.json import decode

from ebonyshore.commands.admin_client import AdminClient
from ebonyshore.commands.settings_cli import send_edit
from ebonyshore.frame.errors import EbonyshoreError
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.settings.settings_admin import RevisionReport, TargetRevision
from ebonyshore.settings.settings_store import SettingsEdit
from ebonyshore_standins.local_fleet import OPERATOR_TOKEN, LocalFleet
from ebonyshore_standins.memory_platform import PlatformFaults
from tests.stepping_clock import SteppingClock


@pytest.fixture(scope="module")
def small_fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[LocalFleet]:
    with LocalFleet(tmp_path_factory.mktemp("settings-fleet")) as fleet:
        fleet.add_engine(("reader",))
        for _ in range(2):
            fleet.add_entry("a", f'[peers]\nagent_addresses = ["{agent_address(fleet)}"]\n')
        fleet.create_tier("care", ("reader",))
        yield fleet


def agent_address(fleet: LocalFleet) -> str:
    return f"tcp://127.0.0.1:{fleet.targets[0].port}"


def run_cli(fleet: LocalFleet, *arguments: str) -> subprocess.CompletedProcess[str]:
    admin = fleet.entries[0].admin
    environment = {
        **os.environ,
        "EBONYSHORE_ADMIN": f"http://{admin._host}:{admin._port}",
        "EBONYSHORE_TOKEN": OPERATOR_TOKEN,
    }
    command = [sys.executable, "-m", "ebonyshore", "settings", *arguments]
    return subprocess.run(command, capture_output=True, text=True, env=environment, timeout=60)


def test_set_returns_when_the_change_is_in_force_everywhere(small_fleet: LocalFleet) -> None:
    done = run_cli(
        small_fleet, "set", "/tiers/care", "max_attempts=3", "--json", "--operator", "an"
    )
    assert done.returncode == 0, done.stderr
    revision = decode(done.stdout)["revision"]
    for entry in small_fleet.entries:
        assert entry.admin.get("/admin/v1/settings")["revision"] >= revision
    shown = run_cli(small_fleet, "effective", "/tiers/care/models/reader", "--json")
    assert decode(shown.stdout)["values"]["max_attempts"] == 3
    history = decode(run_cli(small_fleet, "history", "--json").stdout)
    assert (history["changes"][-1]["operator"], history["faults"]) == ("an", [])


def test_unset_setting_is_inherited_again(small_fleet: LocalFleet) -> None:
    assert run_cli(small_fleet, "set", "/callers/shop", "caller_weight=2.5").returncode == 0
    assert "caller_weight = 2.5" in run_cli(small_fleet, "get", "/callers/shop").stdout
    assert run_cli(small_fleet, "unset", "/callers/shop", "caller_weight").returncode == 0
    assert "caller_weight = 1.0" in run_cli(small_fleet, "effective", "/callers/shop").stdout
    assert run_cli(small_fleet, "unset", "/callers/shop", "--level").returncode == 0
    assert run_cli(small_fleet, "get", "/callers/shop").returncode == ResultCode.NOT_FOUND


@pytest.mark.parametrize(
    ("arguments", "code", "text"),
    [
        (("set", "/", "max_attempts=0"), ResultCode.INVALID_SETTINGS, "max_attempts: found 0"),
        (("set", "/x", "max_attempts=1"), ResultCode.INVALID_SETTINGS, "/x: not a level"),
        (("set", "/", "max_attempts"), ResultCode.INVALID_REQUEST, "NAME=VALUE"),
        (
            ("set", "/", "max_attempts=9", "--expected-revision", "1"),
            ResultCode.SETTINGS_CONFLICT,
            "not 1",
        ),
        (("effective", "/x"), ResultCode.INVALID_SETTINGS, "/x: not a level"),
    ],
)
def test_exit_status_is_the_result_code(
    small_fleet: LocalFleet, arguments: tuple[str, ...], code: ResultCode, text: str
) -> None:
    done = run_cli(small_fleet, *arguments)
    assert done.returncode == code
    assert text in done.stderr


def test_restarted_processes_get_the_revision_from_peers(small_fleet: LocalFleet) -> None:
    """Guards against an entry or agent that restarts in an outage and serves an older revision.

    The platform is down, so the restarted process can get the newest revision from peers only.
    """
    fleet = small_fleet
    revision = fleet.entries[0].admin.get("/admin/v1/settings")["revision"]
    fleet.call_platform("PUT", "/control/faults", PlatformFaults(is_down=True))
    try:
        kill_and_restart(fleet, "entry", fleet.entries[0].instance_id, fleet.entries[0].process)
        fleet.wait_until(lambda: is_in_force_everywhere(fleet, revision))
        previous = target_incarnation(fleet)
        kill_and_restart(fleet, "agent", fleet.targets[0].instance_id, fleet.targets[0].agent)
        fleet.wait_until(lambda: target_incarnation(fleet) not in ("", previous))
        fleet.wait_until(lambda: is_in_force_everywhere(fleet, revision))
    finally:
        fleet.call_platform("PUT", "/control/faults", PlatformFaults())


def kill_and_restart(
    fleet: LocalFleet, role: str, instance_id: str, process: subprocess.Popen[bytes]
) -> None:
    """Kill a process, as a lost instance would end, and start it again with the same settings."""
    process.kill()
    process.wait()
    path = fleet.folder / f"{instance_id}.toml"
    fleet._start("-m", "ebonyshore", role, "--settings", str(path))


def target_incarnation(fleet: LocalFleet) -> str:
    targets = fleet.entries[0].admin.get("/admin/v1/targets")
    return targets[fleet.targets[0].instance_id]["incarnation"]


def is_in_force_everywhere(fleet: LocalFleet, revision: int) -> bool:
    try:
        answer = fleet.entries[0].admin.get("/admin/v1/settings/revisions")
    except EbonyshoreError:
        return False
    report = convert(answer, RevisionReport)
    return bool(report.targets) and not report.list_outdated(revision)


def test_entry_without_a_revision_reports_that_it_is_not_ready(tmp_path: Path) -> None:
    """Guards against a starting entry that rejects known models as unknown.

    An entry that has no settings revision yet knows no models.
    """
    with LocalFleet(tmp_path) as fleet:
        fleet.call_platform("PUT", "/control/faults", PlatformFaults(is_down=True))
        entry = fleet.add_entry()
        connection = HTTPConnection("127.0.0.1", entry.port, timeout=10)
        connection.request("GET", "/v1/models")
        response = connection.getresponse()
        assert response.status == 503
        assert response.headers["Ebonyshore-Code"] == str(int(ResultCode.NOT_READY))
        assert response.headers["Ebonyshore-Execution"] == "not_run"
        connection.close()


def test_report_names_the_outdated_processes() -> None:
    targets = {
        "t1": TargetRevision(7, 7, False),
        "t2": TargetRevision(6, 7, False),
        "t3": TargetRevision(7, 6, False),
        "t4": TargetRevision(7, 7, True),
    }
    outdated = RevisionReport(7, True, "", targets).list_outdated(7)
    assert [text.split(" (")[0] for text in outdated] == ["t2", "an entry connected to t3", "t4"]


def test_resends_have_the_same_change_id() -> None:
    """Guards against a resend after a lost response being applied as a second change."""
    ids = []

    class ResponseLosingClient(AdminClient):
        def post(self, path: str, value: dict) -> object:
            ids.append(value["change_id"])
            if len(ids) < 3:
                raise EbonyshoreError(code=ResultCode.NOT_READY)
            return {"revision": 4}

    edit = SettingsEdit("/", {"max_attempts": 2})
    assert send_edit(ResponseLosingClient("http://127.0.0.1:1", ""), edit, SteppingClock()) == 4
    assert len(ids) == 3
    assert len(set(ids)) == 1
