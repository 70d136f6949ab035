"""Reserved tokens of a route: single decisions, and random histories with faults."""

from hypothesis import settings as run_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ebonyshore.runner.quota_ledger import (
    KnownReservations,
    QuotaLedger,
    Reservation,
    ReservationRequest,
    change_ledger,
    unreserved_tokens,
)

LIMIT = 100
NOTHING_KNOWN = KnownReservations()
RUNNERS = ("a", "b", "c")
runner_names = st.sampled_from(RUNNERS)


def reserve(ledger, *requests, limit=LIMIT, known=NOTHING_KNOWN, others=0):
    wanted = [ReservationRequest(Reservation(*request)) for request in requests]
    return change_ledger(ledger, known, wanted, limit, others)


def test_requests_are_taken_in_order_and_a_smaller_one_may_still_fit():
    change = reserve(QuotaLedger(), ("j1", 60, "a"), ("j2", 50, "a"), ("j3", 40, "b"))
    assert [kept.job_id for kept in change.ledger.reservations] == ["j1", "j3"]
    assert change.refused == {"j2"} and change.missing_tokens == 10


def test_a_job_counts_once_however_often_it_is_submitted():
    change = reserve(QuotaLedger(), ("j1", 60, "a"), ("j1", 60, "b"), ("j1", 60, "b"))
    assert len(change.ledger.reservations) == 2 and not change.refused
    assert change.ledger.total_tokens == 60
    owned = KnownReservations({"j1": Reservation("j1", 50, "a")})
    assert reserve(change.ledger, known=owned).ledger.reservations == (Reservation("j1", 50, "a"),)


def test_a_runner_that_gives_back_its_reservation_leaves_that_of_another_one():
    """Guards against an accepted job without a reservation: it was also offered to a second runner,
    whose call the entry ended when the first had accepted it. Seed 1244 of the soak."""
    accepted = reserve(QuotaLedger(), ("j1", 60, "a")).ledger
    offered = reserve(accepted, ("j1", 60, "b")).ledger
    released = KnownReservations(released=frozenset({("j1", "b")}))
    assert reserve(offered, known=released).ledger == accepted


def test_tokens_that_other_runners_have_not_reserved_yet_count():
    assert reserve(QuotaLedger(), ("j1", 60, "a"), others=41).refused == {"j1"}
    ledger = QuotaLedger((Reservation("j1", 30, "b"),))
    assert unreserved_tokens(ledger, {"a": 5, "b": 50}) == 25


def test_only_the_reservation_of_the_runner_that_failed_to_store_the_job_is_released():
    """Guards against the loss of a reservation when a job was offered to two runners."""
    ledger = QuotaLedger((Reservation("j1", 30, "b"), Reservation("j2", 30, "a")))
    known = KnownReservations(released=frozenset({("j1", "a"), ("j2", "a")}))
    assert reserve(ledger, known=known).ledger.reservations == (Reservation("j1", 30, "b"),)


def test_an_accepted_job_counts_although_it_does_not_fit():
    request = ReservationRequest(Reservation("j1", LIMIT + 1, "a"), is_accepted=True)
    change = change_ledger(QuotaLedger(), KnownReservations(), [request], LIMIT)
    assert change.ledger.total_tokens == LIMIT + 1 and not change.refused


class Job:
    """A job of the model: what has happened to it, apart from what any runner knows."""

    def __init__(self, tokens, owner):
        self.tokens = tokens
        self.owner = owner


class QuotaMachine(RuleBasedStateMachine):
    """Runners change one ledger with outdated copies, die, and take over each other's jobs.

    A write takes effect only if no other write came after the copy, as in the store.
    """

    def __init__(self):
        super().__init__()
        self.version = 0
        self.ledger = QuotaLedger()
        self.limit = LIMIT
        self.jobs = {}
        self.copies = {name: (0, QuotaLedger()) for name in RUNNERS}
        self.reserved_by = {name: {} for name in RUNNERS}
        self.released = {name: set() for name in RUNNERS}
        self.numbers = iter(range(1 << 20))
        self.limits_exceeded = 0

    def known(self, runner):
        current = {
            job_id: Reservation(job_id, job.tokens, runner)
            for job_id, job in self.jobs.items()
            if job.owner == runner
        }
        return KnownReservations(current, frozenset((key, runner) for key in self.released[runner]))

    def write(self, runner, requests):
        """Change the ledger by the copy, after a conflict by a new copy, as the storage does."""
        reported = {
            name: sum(job.tokens for job in self.jobs.values() if job.owner == name)
            for name in RUNNERS
            if name != runner
        }
        for copy in (self.copies[runner], (self.version, self.ledger)):
            version, ledger = copy
            others = unreserved_tokens(ledger, reported)
            change = change_ledger(ledger, self.known(runner), requests, self.limit, others)
            if version == self.version:
                break
        self.version += 1
        self.ledger = change.ledger
        self.copies[runner] = (self.version, change.ledger)
        return change

    def submit(self, runner, tokens):
        job_id = f"j{next(self.numbers)}"
        request = ReservationRequest(Reservation(job_id, tokens, runner))
        return job_id, job_id not in self.write(runner, [request]).refused

    @rule(runner=runner_names, tokens=st.integers(1, 60))
    def accept(self, runner, tokens):
        waiting = sum(job.tokens for job in self.jobs.values())
        job_id, is_accepted = self.submit(runner, tokens)
        if is_accepted:
            self.jobs[job_id] = Job(tokens, runner)
            assert not self.limit or waiting + tokens <= self.limit

    @rule(runner=runner_names, tokens=st.integers(1, 60))
    def die_before_the_job_is_stored(self, runner, tokens):
        job_id, is_accepted = self.submit(runner, tokens)
        if is_accepted:
            self.reserved_by[runner][job_id] = tokens

    @rule(runner=runner_names, other=runner_names, tokens=st.integers(1, 60))
    def offer_to_two_runners(self, runner, other, tokens):
        """One of the runners stores the job; the other one's call is ended."""
        if other == runner:
            return
        waiting = sum(job.tokens for job in self.jobs.values())
        job_id, is_accepted = self.submit(runner, tokens)
        if not is_accepted:
            return
        request = ReservationRequest(Reservation(job_id, tokens, other))
        assert job_id not in self.write(other, [request]).refused
        self.jobs[job_id] = Job(tokens, runner)
        self.released[other].add(job_id)
        self.write(other, [])
        assert job_id in self.ledger.tokens_by_job()
        assert not self.limit or waiting + tokens <= self.limit

    @rule(share=st.integers(0, 60), number=st.integers(0, 1 << 16))
    def end_items(self, share, number):
        if self.jobs:
            job = list(self.jobs.values())[number % len(self.jobs)]
            job.tokens = max(0, job.tokens - share)

    @rule(number=st.integers(0, 1 << 16), owner=runner_names)
    def take_over(self, number, owner):
        if self.jobs:
            list(self.jobs.values())[number % len(self.jobs)].owner = owner

    @rule(limit=st.sampled_from((0, 20, LIMIT, 3 * LIMIT)))
    def change_limit(self, limit):
        self.limit = limit

    @rule(tokens=st.integers(1, 60))
    def settle_and_submit(self, tokens):
        """Once all runners are up to date, a job is refused only if there is no room for it."""
        for runner in RUNNERS:
            self.released[runner] |= set(self.reserved_by[runner])
            self.reserved_by[runner] = {}
            owned = [(key, job) for key, job in self.jobs.items() if job.owner == runner]
            requests = [
                ReservationRequest(Reservation(key, job.tokens, runner), is_accepted=True)
                for key, job in owned
                if job.tokens
            ]
            self.write(runner, requests)
        waiting = sum(job.tokens for job in self.jobs.values())
        assert self.ledger.total_tokens == waiting
        job_id, is_accepted = self.submit(RUNNERS[0], tokens)
        assert is_accepted == (not self.limit or waiting + tokens <= self.limit)
        if is_accepted:
            self.jobs[job_id] = Job(tokens, RUNNERS[0])

    @invariant()
    def each_job_counts_once(self):
        keys = [(kept.job_id, kept.owner) for kept in self.ledger.reservations]
        assert len(set(keys)) == len(keys)
        assert len(self.ledger.tokens_by_job()) <= len(keys)


QuotaMachine.TestCase.settings = run_settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
TestQuotaMachine = QuotaMachine.TestCase
