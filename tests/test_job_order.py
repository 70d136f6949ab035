"""The order of batch jobs, and a replay of a flood of jobs on a fleet that cannot do them all."""

from random import Random

from ebonyshore.runner.job_order import JobDemand, JobOrder, item_rank, order_jobs

DUE_MS = 18_000.0
RETENTION_MS = 60_000.0
ITEM_MS = 6_000.0
ITEMS_PER_JOB = 10
SLOTS = 16
STEP_MS = 200.0
LISTING_MS = 600.0  # until a caller has read a result


def make_demand(job_id, due_in_ms=DUE_MS, work_ms=ITEM_MS, items=1, retention_in_ms=RETENTION_MS):
    return JobDemand(job_id, due_in_ms, retention_in_ms, work_ms, work_ms / items)


def test_jobs_in_time_go_by_due_time():
    jobs = [make_demand("b", 15_000.0), make_demand("a", 12_000.0)]
    assert order_jobs(jobs, SLOTS).job_ids == ("a", "b")


def test_a_job_that_cannot_be_in_time_any_more_goes_last():
    jobs = [make_demand("late", 5_000.0), make_demand("a")]
    order = order_jobs(jobs, SLOTS)
    assert order.job_ids == ("a", "late") and order.late == {"late"}


def test_of_too_many_jobs_whole_ones_are_left_out():
    jobs = [make_demand(f"j{n}", DUE_MS + n, 60_000.0, 10, 10 * RETENTION_MS) for n in range(5)]
    order = order_jobs(jobs, 10)
    assert order.job_ids[0] == "j0" and len(order.late) == 4


def test_a_job_that_has_begun_goes_before_one_that_is_due_earlier():
    begun = JobDemand("begun", DUE_MS + 1, RETENTION_MS, 60_000.0, ITEM_MS, has_begun=True)
    order = order_jobs([make_demand("new", DUE_MS, 60_000.0, 10), begun], 10)
    assert order == JobOrder(("begun", "new"), frozenset({"new"}))


def test_late_jobs_get_a_share_of_the_slots_before_their_retention_ends():
    late = make_demand("late", -1.0, 40_000.0, 10, retention_in_ms=12_000.0)
    jobs = [late, make_demand("a")]
    assert order_jobs(jobs, 10).job_ids == ("late", "a")
    assert order_jobs(jobs, 10, late_running=2).job_ids == ("a", "late")


def test_late_jobs_that_can_wait_do_not_go_first():
    late = make_demand("late", -1.0, 10_000.0, 10, retention_in_ms=50_000.0)
    assert order_jobs([late, make_demand("a")], 10).job_ids == ("a", "late")


def test_jobs_that_cannot_end_before_their_retention_do_not_go_first():
    hopeless = make_demand("late", -1.0, 10_000.0, 1, retention_in_ms=5_000.0)
    assert order_jobs([hopeless, make_demand("a")], 10).job_ids == ("a", "late")


def test_interrupted_items_go_first_among_punctual_and_among_late_jobs():
    order = JobOrder(("a", "late"), frozenset({"late"}))
    items = [("late", False), ("late", True), ("a", False), ("a", True)]
    ranked = sorted(items, key=lambda item: item_rank(order, *item))
    assert ranked == [("a", True), ("a", False), ("late", True), ("late", False)]
    late_first = JobOrder(("late", "a"), frozenset({"late"}), is_late_first=True)
    assert min(items, key=lambda item: item_rank(late_first, *item)) == ("late", True)


class FloodedJob:
    def __init__(self, job_id, submitted_ms, random):
        self.job_id = job_id
        self.submitted_ms = submitted_ms
        self.remaining_ms = [ITEM_MS * random.uniform(0.6, 1.4) for _ in range(ITEMS_PER_JOB)]
        self.ended_ms = [None] * ITEMS_PER_JOB
        self.has_begun = False

    def demand(self, now_ms):
        age_ms = now_ms - self.submitted_ms
        # The length of an item is known only on average.
        work = [ITEM_MS for ended in self.ended_ms if ended is None]
        return JobDemand(
            self.job_id,
            DUE_MS - age_ms,
            RETENTION_MS - age_ms,
            sum(work),
            max(work, default=0.0),
            self.has_begun,
        )

    def items_in_time(self):
        limit_ms = self.submitted_ms + DUE_MS - LISTING_MS
        return sum(ended is not None and ended <= limit_ms for ended in self.ended_ms)


def play_flood(order, seed, length_ms=58_000.0):
    """Play a flood of jobs after some calm; return the jobs.

    :param order: returns the jobs in the order in which their items start.
    """
    random = Random(seed)
    arrivals = sorted(
        [random.uniform(0.0, 40_000.0) for _ in range(8)]
        + [random.uniform(4_000.0, 10_000.0) for _ in range(40)]
        + [random.uniform(14_000.0, 19_000.0) for _ in range(20)]
    )
    jobs = [FloodedJob(f"j{n}", at_ms, random) for n, at_ms in enumerate(arrivals)]
    running = []
    now_ms = 0.0
    while now_ms < length_ms:
        for job, index in list(running):
            job.remaining_ms[index] -= STEP_MS
            if job.remaining_ms[index] <= 0:
                job.ended_ms[index] = now_ms
                running.remove((job, index))
        known = [job for job in jobs if job.submitted_ms <= now_ms and None in job.ended_ms]
        for job in order(known, running, now_ms):
            for index in range(ITEMS_PER_JOB):
                is_waiting = job.ended_ms[index] is None and (job, index) not in running
                if is_waiting and len(running) < SLOTS:
                    running.append((job, index))
                    job.has_begun = True
        now_ms += STEP_MS
    return jobs


def by_submission(jobs, _running, _now_ms):
    return jobs


class ByPolicy:
    """The order of the policy, which needs to know which running items belong to late jobs."""

    def __init__(self):
        self.late = frozenset()

    def __call__(self, jobs, running, now_ms):
        late_running = sum(job.job_id in self.late for job, _ in running)
        order = order_jobs([job.demand(now_ms) for job in jobs], SLOTS, late_running)
        self.late = order.late
        by_id = {job.job_id: job for job in jobs}
        return [by_id[job_id] for job_id in order.job_ids]


def test_in_a_flood_most_of_what_the_slots_allow_is_completed_in_time():
    """Guards against a flood in which everything is begun in turn and nearly all of it is late."""
    last_due_ms = 40_000.0 + DUE_MS
    possible = SLOTS * (last_due_ms - 4_000.0) / ITEM_MS
    for seed in range(5):
        ordered = sum(job.items_in_time() for job in play_flood(ByPolicy(), seed))
        in_turn = sum(job.items_in_time() for job in play_flood(by_submission, seed))
        assert ordered >= 0.6 * possible > in_turn


def test_in_a_flood_late_jobs_still_end():
    jobs = play_flood(ByPolicy(), 1, length_ms=300_000.0)
    assert all(None not in job.ended_ms for job in jobs)
