"""Tests of the batch code in a simulated fleet under random faults, with fixed seeds.

``tools/soak.py`` runs the same simulation for longer.
"""

import pytest

from ebonyshore.batch.jobs import job_key
from ebonyshore.frame.process_settings import BatchSettings
from ebonyshore.settings.settings_tree import SettingsTree
from ebonyshore_standins.batch_faults import FaultReport, check_simulation, run_with_faults
from ebonyshore_standins.batch_simulation import BatchSimulation

PERMIT_INTERVAL_MS = 10_000.0
LEASE_INTERVAL_MS = 20_000.0


def is_clean(report: FaultReport) -> bool:
    return not (report.faults or report.lost or report.doubled)


@pytest.mark.parametrize("seed", range(6))
def test_every_item_has_one_outcome_under_all_faults(seed: int) -> None:
    report = run_with_faults(seed, 1_500)
    assert is_clean(report), report


@pytest.mark.parametrize(
    ("seed", "kinds"),
    [
        (115, ("freeze_in_call", "lost_answers")),
        (230, ("cancel", "freeze_in_call", "cut_off_from_store", "store_down")),
        (300, ("kill_in_call", "cut_off_from_agents")),
        (400, ("crash", "preempt")),
        (401, ("drain", "store_slow")),
        (402, ("agent_kill", "agent_stall", "preempt")),
    ],
)
def test_every_item_has_one_outcome_under_combined_faults(
    seed: int, kinds: tuple[str, ...]
) -> None:
    """Guards against a commit that overwrites the record of the next holder (seed 115), and against
    a shard that ends twice (seed 230)."""
    report = run_with_faults(seed, 1_500, kinds)
    assert is_clean(report), report


def start_simulation(
    items: int = 600, entries: int = 2, shard_items: int = 40
) -> tuple[BatchSimulation, str]:
    settings = BatchSettings(shard_items=shard_items, max_shards=3, window_items=24)
    simulation = BatchSimulation(7, entries=entries, settings=settings)
    simulation.run(1_000)
    job_id = simulation.submit(items)
    simulation.run(3_000)
    return simulation, job_id


def complete_and_check(simulation: BatchSimulation) -> FaultReport:
    report = FaultReport(7)
    if not simulation.run_to_completion(300_000):
        report.faults.append("jobs have not ended")
    check_simulation(simulation, report)
    return report


def test_cancelled_job_stops_while_its_holders_are_frozen_or_cut_off() -> None:
    """Guards against items that start long after a cancel that their holder does not see.

    One holder is cut off from the store, one is frozen, and then the store is down for all.
    """
    simulation, job_id = start_simulation(2_000, entries=3)
    simulation.entries[0].is_cut_off_from_store = True
    simulation.entries[1].freeze(15_000)
    assert simulation.cancel(job_id)
    simulation.platform.faults.is_down = True
    simulation.run(30_000)
    simulation.platform.faults.is_down = False
    report = complete_and_check(simulation)
    assert is_clean(report), report
    assert 0 < report.max_start_after_cancel_ms <= PERMIT_INTERVAL_MS
    assert simulation.fault_free_job_store().read_job(job_id).completed_items > 0


def test_cancelled_job_stops_when_the_answer_to_the_read_of_the_job_is_late() -> None:
    """Guards against a permit that is newer than the read of the job.

    The job is cancelled while the answer to the read is late; then the entry loses the store.
    """
    simulation, job_id = start_simulation(2_100, entries=1, shard_items=700)
    entry = simulation.entries[0]
    get, put = simulation.platform.get, simulation.platform.put

    def get_late(key: str):
        answer = get(key)
        if key == job_key(job_id) and not simulation.cancelled_ms:
            simulation.cancelled_ms[job_id] = simulation.now_ms
            simulation.fault_free_job_store().cancel(job_id)
            simulation.run_while_blocked(entry, 6_000)
        return answer

    def put_and_cut_off(key: str, value: bytes, expected_version: int) -> int:
        version = put(key, value, expected_version)
        entry.is_cut_off_from_store = bool(simulation.cancelled_ms) and key.startswith("shards/")
        return version

    simulation.platform.get, simulation.platform.put = get_late, put_and_cut_off
    simulation.run(30_000)
    simulation.platform.get, simulation.platform.put = get, put
    assert entry.is_cut_off_from_store
    report = complete_and_check(simulation)
    assert is_clean(report), report
    assert report.max_start_after_cancel_ms > 0


@pytest.mark.parametrize("revision", [0, 1])
def test_entry_with_older_settings_than_the_job_does_not_run_it(revision: int) -> None:
    """Guards against valid items that fail as UNKNOWN_MODEL.

    This happens at an entry without settings, or without the revision that added the model.
    """
    simulation = BatchSimulation(7, entries=1)
    entry = simulation.entries[0]
    entry.settings_tree = SettingsTree(2, simulation.settings_tree.nodes)
    for agent in simulation.agents:
        agent.settings_revision = 2
    job_id = simulation.submit(60)
    entry.settings_tree = SettingsTree(revision, {})
    simulation.run(10_000)
    assert not simulation.fault_free_job_store().list_shard_versions(job_id)
    entry.settings_tree = SettingsTree(2, simulation.settings_tree.nodes)
    assert is_clean(complete_and_check(simulation))
    assert simulation.fault_free_job_store().read_job(job_id).completed_items == 60


def test_restarted_entry_claims_its_own_shards_at_once() -> None:
    """Guards against an entry that waits until its own lease has lapsed."""
    simulation, job_id = start_simulation(120, entries=1)
    simulation.entries[0].kill()
    simulation.entries[0].start()
    simulation.run(LEASE_INTERVAL_MS / 2)
    assert simulation.fault_free_job_store().read_job(job_id).is_ended


def test_results_of_a_store_outage_are_committed_after_it() -> None:
    """Guards against an entry that takes the lease of a live holder right after an outage."""
    simulation, job_id = start_simulation()
    simulation.platform.faults.is_down = True
    simulation.run(60_000)
    done = sum(entry.metrics.counter("batch_items_done") for entry in simulation.entries)
    simulation.platform.faults.is_down = False
    simulation.run(3_000)
    progress = simulation.fault_free_job_store().read_progress(
        simulation.fault_free_job_store().read_job(job_id)
    )
    assert done > 60
    assert progress.completed >= done
    assert is_clean(complete_and_check(simulation))


def test_drained_entry_releases_its_shards() -> None:
    """Guards against a stopped entry whose shards cannot be claimed until their leases lapse."""
    simulation, job_id = start_simulation(entries=1)
    simulation.entries[0].drain()
    simulation.run(5_000)
    assert simulation.entries[0].is_dead
    store = simulation.fault_free_job_store()
    shards = [store.read_shard(job_id, shard) for shard in store.list_shard_versions(job_id)]
    assert shards
    assert all(shard.body.holder == "" for shard in shards)


def test_progress_includes_shards_that_have_not_ended() -> None:
    simulation, job_id = start_simulation(shard_items=300)
    simulation.run(6_000)
    job = simulation.fault_free_job_store().read_job(job_id)
    progress = simulation.fault_free_job_store().read_progress(job)
    assert not job.is_ended
    assert job.completed_items < progress.completed < job.item_count


def test_small_job_does_not_wait_for_a_large_one() -> None:
    """Guards against a job with many shards that delays other jobs until it has ended."""
    simulation, large = start_simulation(6_000)
    small = simulation.submit(40)
    simulation.run(20_000)
    assert simulation.fault_free_job_store().read_job(small).is_ended
    assert not simulation.fault_free_job_store().read_job(large).is_ended
