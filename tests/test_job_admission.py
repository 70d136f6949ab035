"""Limits of the waiting batch work of a route, over several runners and under faults."""

import asyncio

import pytest

from ebonyshore.frame.clock import SystemClock
from ebonyshore.frame.errors import StoreError
from ebonyshore.frame.logs import EventLog
from ebonyshore.runner import job_admission, quota_storage, reservation_writer
from ebonyshore.runner.admission_policy import RunnerWork, tokens_beyond_retention
from ebonyshore.runner.job_claims import JobClaims
from ebonyshore_standins.memory_platform import MemoryPlatform
from tests.admission_setup import (
    ITEM_TOKENS,
    JOB_TOKENS,
    LIMIT_TOKENS,
    AdmittingRunner,
    exchange_reports,
    make_route,
    stored_ledger,
)

FITTING_JOBS = LIMIT_TOKENS // JOB_TOKENS


class SwitchedPlatform:
    """The view that one runner has of the store, which can be cut off."""

    def __init__(self, platform):
        self._platform = platform
        self.is_cut = False

    def __getattr__(self, name):
        if self.is_cut:
            raise StoreError("cut off")
        return getattr(self._platform, name)


@pytest.fixture
def platform():
    return MemoryPlatform(SystemClock())


@pytest.fixture
def short_intervals(monkeypatch):
    """Shorten the pauses between steps, so that tests need not wait for them."""
    monkeypatch.setattr(job_admission, "STEP_INTERVAL_MS", 0.0)
    monkeypatch.setattr(reservation_writer, "RELEASE_INTERVAL_MS", 0.0)
    monkeypatch.setattr(reservation_writer, "RETRY_INTERVAL_MS", 0.0)
    monkeypatch.setattr(reservation_writer, "ABANDONED_AFTER_MS", 100.0)
    monkeypatch.setattr(quota_storage, "MAX_COPY_AGE_MS", 0.0)


class AheadClock(SystemClock):
    """A clock by which every owner has been silent for long."""

    def boot_ms(self):
        return super().boot_ms() + 60_000.0


def make_runners(platform, names="ab", route=None):
    return [AdmittingRunner(name, names, platform, route or make_route()) for name in names]


async def settle(runners, rounds=8):
    """Let the runners exchange reports and update their reservations."""
    for _ in range(rounds):
        exchange_reports(runners)
        for runner in runners:
            runner.admission.step()
        await asyncio.sleep(0.02)


async def submit_all(runners, count, prefix="j"):
    """Submit jobs to the runners in turn, all at once; return the ids of the accepted ones."""
    jobs = [(runners[n % len(runners)], f"{prefix}{n}") for n in range(count)]
    refusals = await asyncio.gather(*(runner.submit(job_id) for runner, job_id in jobs))
    return [job_id for (_, job_id), refusal in zip(jobs, refusals, strict=True) if refusal is None]


def test_two_runners_at_once_accept_what_fits_and_no_more(platform):
    """Guards against runners that each see room for a job and together exceed the limit."""
    accepted = asyncio.run(submit_all(make_runners(platform), 12))
    assert len(accepted) == FITTING_JOBS
    assert stored_ledger(platform).total_tokens == FITTING_JOBS * JOB_TOKENS


def test_a_route_without_a_limit_costs_no_call(platform):
    runner, _ = make_runners(platform, route=make_route(0))
    assert asyncio.run(submit_all([runner], 9)) and stored_ledger(platform).total_tokens == 0
    assert platform.calls["put"] == 9


def test_a_job_that_was_accepted_is_accepted_again_when_the_limit_is_used_up(platform):
    async def run():
        first, second = make_runners(platform)
        accepted = await submit_all([first], 5)
        return [await second.submit(job_id) for job_id in accepted]

    assert asyncio.run(run()) == [None] * FITTING_JOBS


def test_room_of_ended_and_cancelled_work_is_used_again(platform, short_intervals):
    async def run():
        runners = make_runners(platform)
        first, second = runners
        accepted = await submit_all([first], 5)
        first.end_items(accepted[0], 2)
        await settle(runners)
        fits = await second.submit("fits")
        refused = await second.submit("does-not-fit")
        first.end_items(accepted[1], 3)
        await settle(runners)
        fits_later = await second.submit("fits-later")
        cancelled = first.registry.storage.cancel(accepted[2])
        first.registry.update_record(cancelled)
        await settle(runners)
        after_cancellation = await second.submit("after-cancellation")
        return fits, refused, fits_later, after_cancellation

    fits, refused, fits_later, after_cancellation = asyncio.run(run())
    assert fits is None and refused.reason == "quota"
    assert fits_later is None and after_cancellation is None


def test_a_refusal_tells_when_room_is_expected(platform):
    async def run():
        runner, other = make_runners(platform)
        for _ in range(20):
            runner.completions.record_completion(ITEM_TOKENS, 1_000.0)
        runner.completions.record_slots(2, 0.0)
        other.report_to([runner])
        await submit_all([runner], FITTING_JOBS)
        return await runner.submit("one-too-many")

    refusal = asyncio.run(run())
    # Two runners with two slots each complete 40 tokens a second; 20 tokens are missing.
    assert refusal.missing_tokens == 20
    assert 500.0 <= refusal.retry_after_ms <= 625.0


def test_a_job_that_cannot_end_before_its_retention_is_refused(platform):
    async def run():
        route = make_route(limit_tokens=0, retention_ms=2_000.0, due_ms=100.0)
        runner, _ = make_runners(platform, route=route)
        accepted = await submit_all([runner], 4)
        unknown_rate = await runner.submit("rate-unknown")
        for _ in range(20):
            runner.completions.record_completion(ITEM_TOKENS, 1_000.0)
        runner.completions.record_slots(2, 0.0)
        return accepted, unknown_rate, await runner.submit("refused")

    accepted, unknown_rate, refusal = asyncio.run(run())
    assert len(accepted) == 4 and unknown_rate is None
    # 180 tokens of work, of which 40 are completed in the retention time.
    assert refusal.reason == "retention" and refusal.missing_tokens == 140
    assert 7_000.0 <= refusal.retry_after_ms <= 8_750.0


def test_a_job_that_can_be_in_time_is_accepted_however_much_late_work_waits():
    """Guards against the refusal of new jobs, which go before late ones, in a flood."""
    work = RunnerWork(waiting_tokens=10_000, punctual_tokens=10, tokens_per_ms=0.01)
    assert tokens_beyond_retention(work, 30, due_ms=18_000.0, retention_ms=60_000.0) == 0
    busy = RunnerWork(waiting_tokens=10_000, punctual_tokens=160, tokens_per_ms=0.01)
    assert tokens_beyond_retention(busy, 30, due_ms=18_000.0, retention_ms=60_000.0) == 9_430


def test_the_reservation_of_a_runner_killed_before_it_stored_the_job_is_given_back(
    platform, short_intervals
):
    """Guards against a limit that stays used up by jobs that were never accepted."""

    async def run():
        dead, second = make_runners(platform)
        for number in range(FITTING_JOBS):
            await dead.admission.admit(dead.make_record(f"lost{number}"), dead.config.route)
        refused = await second.submit("j")
        await settle([second], rounds=40)
        return refused, await second.submit("j")

    refused, accepted = asyncio.run(run())
    assert refused.reason == "quota" and accepted is None


def test_the_reservation_of_a_job_that_the_store_refused_is_given_back(platform, short_intervals):
    async def run():
        runners = make_runners(platform)
        first, second = runners
        for number in range(FITTING_JOBS):
            await first.admission.admit(first.make_record(f"j{number}"), first.config.route)
            first.admission.release(f"j{number}")
        await settle(runners)
        return await submit_all([second], 5)

    assert len(asyncio.run(run())) == FITTING_JOBS


def test_a_job_that_is_submitted_again_after_a_failure_keeps_its_reservation(
    platform, short_intervals
):
    async def run():
        runner = make_runners(platform)[0]
        await runner.admission.admit(runner.make_record("j"), runner.config.route)
        runner.admission.release("j")
        await runner.submit("j")
        await settle([runner])
        return stored_ledger(platform).total_tokens

    assert asyncio.run(run()) == JOB_TOKENS


def test_the_reservation_of_a_call_that_the_entry_has_ended_is_given_back_at_once(
    platform, short_intervals, monkeypatch
):
    """Guards against room that stays taken for seconds; seed 903 of the soak."""
    monkeypatch.setattr(reservation_writer, "ABANDONED_AFTER_MS", 60_000.0)

    async def run():
        runners = make_runners(platform)
        platform.faults.delay_ms = 50.0
        calls = [asyncio.create_task(runners[0].submit(f"j{n}")) for n in range(FITTING_JOBS)]
        await asyncio.sleep(0.03)
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
        await asyncio.sleep(0.3)
        platform.faults.delay_ms = 0.0
        await settle(runners)
        return await submit_all([runners[1]], 5, "k")

    assert len(asyncio.run(run())) == FITTING_JOBS


def test_a_reservation_whose_answer_was_lost_is_made_once(platform):
    async def run():
        runner = make_runners(platform)[0]
        platform.faults.lose_next_answers = 1
        return [await runner.submit(f"j{n}") for n in range(FITTING_JOBS + 1)]

    refusals = asyncio.run(run())
    assert refusals[:-1] == [None] * FITTING_JOBS and refusals[-1].reason == "quota"
    assert stored_ledger(platform).total_tokens == FITTING_JOBS * JOB_TOKENS


def test_an_outage_of_the_store_costs_few_calls(platform):
    """Guards against a write that is repeated every 50 ms while the store answers nothing."""

    async def run():
        runners = make_runners(platform)
        await submit_all(runners, FITTING_JOBS)
        platform.faults.drop_next_writes = 1_000
        calls_before = platform.calls["put"]
        with pytest.raises(StoreError):
            await runners[0].admission.admit(runners[0].make_record("x", 1), make_route())
        runners[1].end_items("j1", 3)
        for _ in range(20):
            runners[1].admission.step()
            await asyncio.sleep(0.1)
        return platform.calls["put"] - calls_before

    assert asyncio.run(run()) <= 16


def test_a_runner_cut_off_from_the_store_accepts_nothing(platform):
    async def run():
        view = SwitchedPlatform(platform)
        runner = AdmittingRunner("a", "ab", view, make_route())
        view.is_cut = True
        with pytest.raises(StoreError):
            await runner.submit("j")

    asyncio.run(run())


def test_a_runner_cut_off_from_the_others_stays_within_the_limit(platform):
    async def run():
        first, second = make_runners(platform)
        return [*await submit_all([first], 2, "a"), *await submit_all([second], 4, "b")]

    assert len(asyncio.run(run())) == FITTING_JOBS


def test_a_runner_that_wakes_with_an_old_copy_stays_within_the_limit(platform):
    """Guards against a decision by the copy of the ledger that a runner kept while suspended."""

    async def run():
        frozen, second = make_runners(platform)
        await frozen.submit("a0")
        accepted = await submit_all([second], 4, "b")
        return 1 + len(accepted) + len(await submit_all([frozen], 4, "c"))

    assert asyncio.run(run()) == FITTING_JOBS


def test_jobs_of_a_dead_runner_count_for_their_new_owner(platform, short_intervals):
    async def run():
        dead, second = make_runners(platform)
        await submit_all([dead], FITTING_JOBS)
        second.registry.on_changes([platform.get(f"jobs/j{n}") for n in range(FITTING_JOBS)])
        claims = JobClaims(second.registry, second.load_table, AheadClock(), EventLog())
        claims.claim_unowned_jobs()
        while claims.owners_being_replaced():
            await asyncio.sleep(0.01)
        await settle([second])
        owners = {kept.owner for kept in stored_ledger(platform).reservations}
        second.end_items("j0", 3)
        await settle([second])
        return owners, await second.submit("fits"), await second.submit("does-not-fit")

    owners, fits, refused = asyncio.run(run())
    assert owners == {"b"} and fits is None and refused.reason == "quota"


def test_a_lower_limit_holds_for_new_jobs_and_a_higher_one_lets_them_in(platform, short_intervals):
    async def run():
        runner = make_runners(platform)[0]
        accepted = await submit_all([runner], 2)
        runner.config.set_route(make_route(JOB_TOKENS))
        lower = await runner.submit("lower")
        runner.config.set_route(make_route(4 * JOB_TOKENS))
        return accepted, lower, await runner.submit("higher")

    accepted, lower, higher = asyncio.run(run())
    assert len(accepted) == 2 and lower.reason == "quota" and higher is None


def test_jobs_accepted_without_a_limit_count_once_there_is_one(platform, short_intervals):
    """Guards against a limit that is exceeded by the jobs of a runner that learns of it later."""

    async def run():
        runners = make_runners(platform, route=make_route(0))
        first, second = runners
        await submit_all([second], FITTING_JOBS)
        await settle(runners)
        first.config.set_route(make_route())
        refused = await first.submit("j-new")
        second.config.set_route(make_route())
        await settle(runners)
        return refused, stored_ledger(platform).total_tokens

    refused, reserved = asyncio.run(run())
    assert refused.reason == "quota" and reserved == FITTING_JOBS * JOB_TOKENS


def test_a_job_is_stored_at_once_while_little_of_the_limit_is_used(platform, short_intervals):
    """Guards against answers that are late in a slow store, which delays each of two calls."""

    async def run():
        runners = make_runners(platform, route=make_route(100 * JOB_TOKENS))
        await settle(runners, rounds=2)
        platform.faults.delay_ms = 100.0
        began_ms = runners[0].clock.monotonic_ms()
        refusal = await runners[0].admission.admit(
            runners[0].make_record("j"), runners[0].config.route
        )
        admitted_ms = runners[0].clock.monotonic_ms() - began_ms
        await runners[0].store(runners[0].make_record("j"))
        platform.faults.delay_ms = 0.0
        await settle(runners)
        return refusal, admitted_ms, stored_ledger(platform, runners[0].config.route).total_tokens

    refusal, admitted_ms, reserved = asyncio.run(run())
    assert refusal is None and admitted_ms < 50.0 and reserved == JOB_TOKENS


def test_reservations_follow_a_job_that_was_stored_before_its_reservation(
    platform, short_intervals
):
    """Guards against a job without a reservation, after its first write to the ledger failed."""

    async def run():
        runners = make_runners(platform, route=make_route(100 * JOB_TOKENS))
        await settle(runners, rounds=2)
        route = runners[0].config.route
        await runners[0].admission.admit(runners[0].make_record("j"), route)
        platform.faults.is_down = True
        await asyncio.sleep(0.1)
        platform.faults.is_down = False
        await runners[0].store(runners[0].make_record("j"))
        await settle(runners)
        return stored_ledger(platform, route).total_tokens

    assert asyncio.run(run()) == JOB_TOKENS
