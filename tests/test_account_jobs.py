"""Jobs of client accounts: who may use them, what targets are told, and limits by account."""

import asyncio

import pytest
from msgspec.msgpack import encode

from ebonyshore.frame.clock import SystemClock
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.host.job_types import ItemRecord, JobRecord
from ebonyshore.host.target import Target, TargetEntry
from ebonyshore.http.connection_pool import ConnectionPool
from ebonyshore.http.headers import Headers
from ebonyshore.http.messages import Request
from ebonyshore.link.job_call import PATH_HEADER, JobCall, JobCallKind
from ebonyshore.link.load_table import LoadReport
from ebonyshore.platform.deployment import PlatformDeployment
from ebonyshore.platform.wire_names import WIRE_NAMES
from ebonyshore.runner import job_admission, quota_storage, reservation_writer
from ebonyshore.runner.item_headers import account_headers
from ebonyshore.runner.item_run import ItemRun
from ebonyshore.runner.job_access import may_access
from ebonyshore.runner.job_api import JobApi
from ebonyshore.runner.job_claims import JobClaims
from ebonyshore.runner.job_progress import Item
from ebonyshore.runner.job_ranking import JobRanking, WaitingItem
from ebonyshore.runner.job_storage import MAX_INLINE_BODY_BYTES
from ebonyshore.store.marked_write import MarkedStore
from ebonyshore_standins.memory_platform import MemoryPlatform
from tests.admission_setup import (
    JOB_TOKENS,
    LIMIT_TOKENS,
    AdmittingRunner,
    exchange_reports,
    make_route,
    stored_ledger,
)
from tests.test_job_admission import AheadClock, settle

ACCOUNTS = ("ada", "bo")
FITTING_JOBS = LIMIT_TOKENS // JOB_TOKENS
SUBMISSION = (
    b'{"Items":[{"Id":"i1","Path":"/p/x","Body":"c2VjcmV0","TokenCount":10},'
    b'{"Id":"i2","Path":"/p/x","TokenCount":10}]}'
)


@pytest.fixture
def platform():
    return MemoryPlatform(SystemClock())


@pytest.fixture(autouse=True)
def short_intervals(monkeypatch):
    """Shorten the pauses between steps, so that tests need not wait for them."""
    monkeypatch.setattr(job_admission, "STEP_INTERVAL_MS", 0.0)
    monkeypatch.setattr(reservation_writer, "RELEASE_INTERVAL_MS", 0.0)
    monkeypatch.setattr(quota_storage, "MAX_COPY_AGE_MS", 0.0)


def make_runners(platform, names="ab", accounts=ACCOUNTS, route=None):
    return [
        AdmittingRunner(name, names, platform, route or make_route(), accounts=accounts)
        for name in names
    ]


class ApiCaller:
    """Sends calls of any account to the API of one runner."""

    def __init__(self, runner):
        self.runner = runner
        self.api = JobApi(
            "127.0.0.1",
            0,
            PlatformDeployment(),
            runner.registry,
            runner.admission,
            runner.config,
            runner.clock,
            EventLog(),
            Metrics(),
        )

    async def call(self, kind, account, body=SUBMISSION, **fields):
        call = JobCall(kind, "j1", account=account, **fields)
        headers = Headers([("Host", "h"), (PATH_HEADER, "/p/")])
        request = Request(call.method, "/jobs/j1", headers, body, 0.0)
        return await self.api._dispatch(call, request)

    async def statuses(self, account):
        """Return the statuses of each kind of call, with the body of the item that was read."""
        submitted = await self.call(JobCallKind.SUBMIT, account)
        results = await self.call(JobCallKind.RESULTS, account)
        item = await self.call(JobCallKind.ITEM_BODY, account, item_id="i1")
        cancelled = await self.call(JobCallKind.CANCEL, account)
        return [reply.status for reply in (submitted, results, item, cancelled)], item.body


OWN_CALLS = ([202, 200, 200, 200], b"secret")
DENIED_CALLS = ([409, 404, 404, 404], b"")


@pytest.mark.parametrize("knows_job", [True, False])
def test_only_the_account_of_a_job_may_use_it(platform, knows_job):
    """Also at a runner that has to read the record from the store."""

    async def run():
        first, second = (ApiCaller(runner) for runner in make_runners(platform))
        await first.call(JobCallKind.SUBMIT, "ada")
        other = first if knows_job else second
        denied = await other.statuses("bo")
        record = first.runner.registry.storage.read("j1").body
        return denied, record, await first.statuses("ada")

    denied, record, own = asyncio.run(run())
    assert denied == DENIED_CALLS and own == OWN_CALLS
    assert record.caller == "ada" and not record.is_cancelled


def test_without_accounts_every_caller_may_use_every_job(platform):
    async def run():
        caller = ApiCaller(make_runners(platform, accounts=None)[0])
        await caller.call(JobCallKind.SUBMIT, "")
        return await caller.statuses("")

    assert asyncio.run(run()) == OWN_CALLS


def test_jobs_stored_before_there_were_accounts_stay_usable(platform):
    """Guards against the loss of accepted work: the record has no field for an account."""

    async def run():
        runner = make_runners(platform)[0]
        fields = {
            name: getattr(runner.make_record("j1"), name)
            for name in JobRecord.__struct_fields__
            if name != "caller"
        }
        MarkedStore(platform, SystemClock()).create("jobs/j1", fields)
        caller = ApiCaller(runner)
        statuses = [
            (await caller.call(kind, "bo")).status
            for kind in (JobCallKind.SUBMIT, JobCallKind.RESULTS, JobCallKind.CANCEL)
        ]
        return statuses, runner.registry.storage.read("j1").body.caller

    assert asyncio.run(run()) == ([202, 200, 200], "")


def test_a_caller_without_a_key_uses_jobs_of_accounts_only_if_there_are_none():
    record = JobRecord("j", "h", "/p/", 0, 1.0, 1.0, 3, (), caller="ada")
    assert may_access(record, "", needs_account=False)
    assert not may_access(record, "", needs_account=True)


def test_two_accounts_that_submit_one_id_at_once_get_one_job(platform):
    async def run():
        first, second = (ApiCaller(runner) for runner in make_runners(platform))
        replies = await asyncio.gather(
            first.call(JobCallKind.SUBMIT, "ada"), second.call(JobCallKind.SUBMIT, "bo")
        )
        runners = [first.runner, second.runner]
        await settle(runners)
        owner = runners[0].registry.storage.read("j1").body.caller
        loser = "bo" if owner == "ada" else "ada"
        ledgers = [stored_ledger(platform, account=name).total_tokens for name in (owner, loser)]
        return [reply.status for reply in replies], ledgers

    statuses, ledgers = asyncio.run(run())
    assert sorted(statuses) == [202, 409] and ledgers == [20, 0]


def test_bodies_left_by_another_account_are_not_run(platform):
    """Guards against a job that runs bodies which another account stored under its id."""

    async def run():
        storage = make_runners(platform)[0].registry.storage
        stored = {}
        for account in ACCOUNTS:
            body = account.encode() * MAX_INLINE_BODY_BYTES
            items = (ItemRecord("i1", "/p/x", (), body),)
            record = JobRecord("j1", "h", "/p/", 0, 1.0, 1.0, 3, items, caller=account)
            stored[account] = storage._store_bodies(record)
        return storage.read_bodies(stored["bo"])[0][:2]

    assert asyncio.run(run()) == b"bo"


FORGED = (
    ("Authorization", "Bearer k"),
    ("AUTHORIZATION", "Bearer k2"),
    ("tenant", "bo"),
    ("Tenant", "bo"),
    ("Model", "m\r\nTenant: bo"),
    ("A\r\nTenant: bo\r\nB", "x"),
    ("Transfer-Encoding", "chunked"),
    ("Model", "kept"),
)


@pytest.mark.parametrize(
    "account, told, keys", [("ada", ["ada"], 0), ("", [], 0), (None, ["bo"] * 2, 2)]
)
def test_a_target_is_told_the_account_of_the_job_and_no_key(account, told, keys):
    """Without accounts, the well-formed headers are sent as they were submitted."""
    path = "/p/x" if account is None else "/p/x HTTP/1.1\r\nTenant: bo"
    record = ItemRecord("i1", path, FORGED, b"")
    run = ItemRun(
        WIRE_NAMES, ConnectionPool(1), Item(0, "i1"), record, b"", "h", None, account=account
    )
    target = Target(TargetEntry("t1", "svc", "10.0.0.1:1", "fd-a", 8))
    lines = run._encode_request(target).decode().split("\r\n")
    fields = [line.partition(": ")[::2] for line in lines[1:]]
    assert [value for name, value in fields if name.lower() == "tenant"] == told
    assert sum(name.lower() == "authorization" for name, _ in fields) == keys
    assert ("Model", "kept") in fields and len(lines[0].split(" ")) == 3


def test_an_item_id_adds_no_header_to_the_request():
    """Guards against an id by which an account passes for another."""
    item = Item(0, "i1\r\nTenant: bo")
    record = ItemRecord(item.item_id, "/p/x", (), b"")
    run = ItemRun(WIRE_NAMES, ConnectionPool(1), item, record, b"", "h", None, account="ada")
    target = Target(TargetEntry("t1", "svc", "10.0.0.1:1", "fd-a", 8))
    lines = run._encode_request(target).decode().split("\r\n")
    assert [line for line in lines if line.startswith("Tenant")] == ["Tenant: ada"]


@pytest.mark.parametrize("account", [None, "ada"])
def test_an_item_header_with_a_line_break_is_not_sent(account):
    """Guards against a second request that is smuggled in an item's headers."""
    smuggled = "1\r\n\r\nPOST /p/y HTTP/1.1\r\nAttempt-Id: x"
    record = ItemRecord("i1", "/p/x", (("Model", smuggled), ("A\r\nB", "1"), ("C", "2")), b"")
    run = ItemRun(
        WIRE_NAMES, ConnectionPool(1), Item(0, "i1"), record, b"", "h", None, None, account
    )
    target = Target(TargetEntry("t1", "svc", "10.0.0.1:1", "fd-a", 8))
    request = run._encode_request(target).decode()
    assert request.count("\r\n\r\n") == 1 and "POST /p/y" not in request
    assert "\r\nC: 2\r\n" in request and "\r\nB" not in request


def test_the_limit_holds_for_each_account_over_all_runners(platform):
    async def run():
        runners = make_runners(platform)
        refusals = {
            name: await asyncio.gather(
                *(runners[n % 2].submit(f"{name}{n}", caller=name) for n in range(6))
            )
            for name in ACCOUNTS
        }
        totals = [stored_ledger(platform, account=name).total_tokens for name in ACCOUNTS]
        return {name: found.count(None) for name, found in refusals.items()}, totals

    accepted, totals = asyncio.run(run())
    assert accepted == dict.fromkeys(ACCOUNTS, FITTING_JOBS)
    assert totals == [FITTING_JOBS * JOB_TOKENS] * 2


def test_ended_and_cancelled_work_makes_room_for_its_own_account_only(platform):
    async def run():
        runners = make_runners(platform)
        first, second = runners
        for name in ACCOUNTS:
            for number in range(FITTING_JOBS):
                await first.submit(f"{name}{number}", caller=name)
        first.end_items("ada0", 3)
        cancelled = first.registry.storage.cancel("ada1")
        first.registry.update_record(cancelled)
        await settle(runners)
        return [
            await second.submit("bo-more", caller="bo"),
            *[await second.submit(f"ada-more{n}", caller="ada") for n in range(3)],
        ]

    bo, first, second, third = asyncio.run(run())
    assert bo.reason == "quota" and first is None and second is None and third.reason == "quota"


def test_limits_that_fall_hold_for_new_jobs(platform):
    async def run():
        runner = make_runners(platform)[0]
        for number in range(2):
            await runner.submit(f"j{number}", caller="ada")
        runner.config.set_route(make_route(JOB_TOKENS), ACCOUNTS)
        return await runner.submit("lower", caller="ada"), await runner.submit("x", caller="bo")

    lower, other = asyncio.run(run())
    assert lower.reason == "quota" and other is None


def test_old_jobs_count_for_no_account_and_again_for_all_without_accounts(platform):
    async def run():
        runners = make_runners(platform, accounts=None)
        first, second = runners
        await first.submit("old")
        for runner in runners:
            runner.config.set_route(make_route(), ACCOUNTS)
        accepted = [await second.submit(f"j{n}", caller="ada") for n in range(FITTING_JOBS)]
        await settle(runners)
        own = stored_ledger(platform, account="ada").total_tokens
        for runner in runners:
            runner.config.set_route(make_route())
        await settle(runners)
        return accepted, own, stored_ledger(platform).total_tokens, await first.submit("late")

    accepted, own, without, late = asyncio.run(run())
    assert accepted == [None] * FITTING_JOBS and own == FITTING_JOBS * JOB_TOKENS
    assert without == (FITTING_JOBS + 1) * JOB_TOKENS and late.reason == "quota"


def test_jobs_of_a_dead_runner_count_for_their_account_at_the_new_owner(platform):
    async def run():
        dead, second = make_runners(platform)
        for number in range(FITTING_JOBS):
            await dead.submit(f"j{number}", caller="ada")
        second.registry.on_changes([platform.get(f"jobs/j{n}") for n in range(FITTING_JOBS)])
        claims = JobClaims(second.registry, second.load_table, AheadClock(), EventLog())
        claims.claim_unowned_jobs()
        while claims.owners_being_replaced():
            await asyncio.sleep(0.01)
        await settle([second])
        owners = {kept.owner for kept in stored_ledger(platform, account="ada").reservations}
        return owners, [await second.submit(f"{name}-x", caller=name) for name in ACCOUNTS]

    owners, (ada, bo) = asyncio.run(run())
    assert owners == {"b"} and ada.reason == "quota" and bo is None


@pytest.mark.parametrize("quotas_per_step", [1, 100])
def test_an_idle_account_leaves_no_reservation_and_costs_no_further_call(
    platform, monkeypatch, quotas_per_step
):
    monkeypatch.setattr(job_admission, "QUOTA_IDLE_MS", 0.0)
    monkeypatch.setattr(job_admission, "MAX_QUOTAS_PER_STEP", quotas_per_step)

    async def run():
        runner = make_runners(platform, "a", route=make_route(100 * JOB_TOKENS))[0]
        for name in ACCOUNTS:
            await runner.submit(name, caller=name)
        await settle([runner])
        for name in ACCOUNTS:
            runner.end_items(name, 3)
        await settle([runner])
        calls = platform.calls.total()
        await settle([runner])
        further_calls = platform.calls.total() - calls
        totals = [stored_ledger(platform, account=name).total_tokens for name in ACCOUNTS]
        return totals, further_calls, runner.admission

    totals, further_calls, admission = asyncio.run(run())
    assert totals == [0, 0] and further_calls == 0
    assert admission.dump() == {} and admission.waiting_tokens() == {}


def test_a_report_names_the_quotas_that_the_ledgers_lack_and_fits_a_datagram(platform, monkeypatch):
    monkeypatch.setattr(job_admission, "MAX_REPORTED_QUOTAS", 2)

    async def run():
        first, second = runners = make_runners(platform, route=make_route(100 * JOB_TOKENS))
        for number in range(3):
            await first.submit(f"j{number}", items=number + 1, caller=f"account{number}")
        first.admission.step()
        exchange_reports(runners)
        return first.admission.waiting_tokens(), second.admission._are_reports_complete()

    reported, is_complete = asyncio.run(run())
    assert sorted(reported.values()) == [20, 30] and not is_complete


def test_a_report_of_many_accounts_fits_a_datagram():
    waiting = {f"{n:016x}": 2**31 for n in range(job_admission.MAX_REPORTED_QUOTAS)}
    contended = tuple(waiting)
    report = LoadReport("a", "r", 1, "runner", {}, 0, (), {}, waiting, contended)
    assert len(encode(report)) < 50_000


def test_an_account_with_one_job_need_not_wait_for_the_jobs_of_another(platform):
    async def run():
        runner = make_runners(platform, "a", route=make_route(0))[0]
        for number in range(8):
            await runner.submit(f"ada{number}", caller="ada")
        await runner.submit("bo", caller="bo")
        runner.completions.slot_ms_per_token = 400.0
        runner.completions.record_slots(4, 0.0)
        ranking = JobRanking(runner.registry, runner.completions, runner.clock)
        ranking.update(0.0)
        waiting = [
            WaitingItem(progress, item, "svc")
            for progress in runner.registry.owned_jobs()
            for item in progress.items
        ]
        return [found.progress.job_id for found in ranking.sort_items(waiting, [], 0.0)[:4]]

    first = asyncio.run(run())
    assert first.count("bo") == 2 and len(set(first)) == 2


def test_account_name_is_sent_as_utf8():
    """Guards against an item that cannot be sent because its account has a name like this."""
    assert account_headers([], WIRE_NAMES, "Ünal Ж") == [
        (WIRE_NAMES.account, "Ünal Ж".encode().decode("latin-1"))
    ]
