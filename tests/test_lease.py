"""Leases: one holder at a time and increasing fencing numbers."""

import pytest
from hypothesis import settings as run_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from ebonyshore.frame.clock import ManualClock
from ebonyshore.frame.errors import LeaseLostError, WriteOutcomeUnknownError
from ebonyshore.store.lease import DEFAULT_LEASE_INTERVAL_MS, Lease
from ebonyshore.store.marked_write import MarkedStore
from ebonyshore_standins.memory_platform import MemoryPlatform, PlatformFaults
from tests.stepping_clock import SteppingClock


class DriftingClock(ManualClock):
    """Follows a shared base clock at its own rate; sleeping advances the base clock."""

    def __init__(self, base: SteppingClock, rate: float, start_ms: float) -> None:
        super().__init__()
        self.base = base
        self.rate = rate
        self.start_ms = start_ms

    def monotonic_ms(self) -> float:
        return self.start_ms + self.base.monotonic_ms() * self.rate

    def sleep_ms(self, duration_ms: float) -> None:
        self.base.advance_ms(duration_ms / self.rate)


def make_lease(platform: MemoryPlatform, clock: ManualClock, holder: str) -> Lease:
    return Lease(MarkedStore(platform, clock), "placement", holder, holder, clock)


@pytest.fixture
def base() -> SteppingClock:
    return SteppingClock()


@pytest.fixture
def platform(base: SteppingClock) -> MemoryPlatform:
    return MemoryPlatform(base)


def test_lease_expires_only_after_the_whole_interval(
    platform: MemoryPlatform, base: SteppingClock
) -> None:
    first, second = make_lease(platform, base, "a"), make_lease(platform, base, "b")
    assert first.acquire_or_renew()
    assert not second.acquire_or_renew()
    base.advance_ms(DEFAULT_LEASE_INTERVAL_MS - 1)
    assert not second.acquire_or_renew()
    base.advance_ms(1)
    assert second.acquire_or_renew()
    assert second.fencing_number() == 2


def test_renewed_lease_is_not_acquired_by_another_process(
    platform: MemoryPlatform, base: SteppingClock
) -> None:
    first, second = make_lease(platform, base, "a"), make_lease(platform, base, "b")
    for _ in range(20):
        assert first.acquire_or_renew()
        assert not second.acquire_or_renew()
        base.advance_ms(first.renewal_interval_ms())


def test_paused_holder_does_not_act_when_it_resumes(
    platform: MemoryPlatform, base: SteppingClock
) -> None:
    """Guards against a holder that resumes and gives orders with its old fencing number."""
    first, second = make_lease(platform, base, "a"), make_lease(platform, base, "b")
    first.acquire_or_renew()
    second.acquire_or_renew()
    base.advance_ms(DEFAULT_LEASE_INTERVAL_MS)
    assert second.acquire_or_renew()
    with pytest.raises(LeaseLostError):
        first.fencing_number()
    assert not first.acquire_or_renew()


def test_validity_counts_from_the_start_of_the_write(
    platform: MemoryPlatform, base: SteppingClock
) -> None:
    """Guards against a slow write after which the holder regards the lease as valid too long."""
    lease = make_lease(platform, base, "a")
    lease.acquire_or_renew()
    platform.set_faults(PlatformFaults(delay_ms=DEFAULT_LEASE_INTERVAL_MS))
    assert not lease.acquire_or_renew()


def test_lease_stays_valid_until_it_expires_in_an_outage(
    platform: MemoryPlatform, base: SteppingClock
) -> None:
    lease = make_lease(platform, base, "a")
    lease.acquire_or_renew()
    platform.set_faults(PlatformFaults(is_down=True))
    assert lease.acquire_or_renew()
    base.advance_ms(DEFAULT_LEASE_INTERVAL_MS)
    assert not lease.acquire_or_renew()
    platform.set_faults(PlatformFaults())
    assert lease.acquire_or_renew()
    assert lease.fencing_number() == 1


def test_released_lease_is_acquired_at_once_with_a_higher_number(
    platform: MemoryPlatform, base: SteppingClock
) -> None:
    first, second = make_lease(platform, base, "a"), make_lease(platform, base, "b")
    first.acquire_or_renew()
    first.release()
    assert second.acquire_or_renew()
    assert second.fencing_number() == 2
    assert not first.is_valid


def test_lease_is_acquired_after_a_lost_response(
    platform: MemoryPlatform, base: SteppingClock
) -> None:
    """Guards against a lease that is unused because its holder does not know that it holds it."""
    lease = make_lease(platform, base, "a")
    put = platform.put

    def lose_response_and_go_down(key: str, value: bytes, expected_version: int) -> int:
        platform.put = put
        put(key, value, expected_version)
        platform.set_faults(PlatformFaults(is_down=True))
        raise WriteOutcomeUnknownError(key)

    platform.put = lose_response_and_go_down
    assert not lease.acquire_or_renew()
    platform.set_faults(PlatformFaults())
    assert lease.acquire_or_renew()
    assert lease.fencing_number() == 1


class LeaseMachine(RuleBasedStateMachine):
    """Three processes with drifting clocks; a process on which no rule runs is frozen."""

    @initialize()
    def set_up(self) -> None:
        self.base = SteppingClock()
        self.platform = MemoryPlatform(self.base)
        self.restarts = 0
        self.clocks = [
            DriftingClock(self.base, rate, start_ms)
            for rate, start_ms in ((0.97, 5.0), (1.0, 90_000.0), (1.03, 0.0))
        ]
        self.leases = [make_lease(self.platform, c, str(i)) for i, c in enumerate(self.clocks)]
        self.holder_by_number: dict[int, int] = {}

    @rule(index=st.integers(0, 2), fault=st.sampled_from(("", "", "lose", "drop", "hold")))
    def maintain_lease(self, index: int, fault: str) -> None:
        if fault:
            name = "lose_next_answers" if fault == "lose" else f"{fault}_next_writes"
            setattr(self.platform.faults, name, 1)
        self.leases[index].acquire_or_renew()

    @rule(share=st.sampled_from((0.1, 0.3, 0.6, 1.0)))
    def wait(self, share: float) -> None:
        self.base.advance_ms(DEFAULT_LEASE_INTERVAL_MS * share)

    @rule(holder=st.integers(0, 2), other=st.integers(0, 2), share=st.sampled_from((0.85, 1.0)))
    def freeze_holder(self, holder: int, other: int, share: float) -> None:
        """The other process reads the record right after a renewal, and again after a delay."""
        self.leases[holder].acquire_or_renew()
        self.leases[other].acquire_or_renew()
        self.wait(share)
        self.leases[other].acquire_or_renew()

    @rule(is_down=st.sampled_from((False, False, True)), delay=st.sampled_from((0, 0, 9_000)))
    def set_faults(self, is_down: bool, delay: float) -> None:
        self.platform.set_faults(PlatformFaults(is_down=is_down, delay_ms=delay))

    @rule()
    def carry_out_held(self) -> None:
        self.platform.apply_held_writes()

    @rule(index=st.integers(0, 2))
    def release(self, index: int) -> None:
        self.leases[index].release()

    @rule(index=st.integers(0, 2))
    def restart(self, index: int) -> None:
        self.restarts += 1
        holder = f"{index}-{self.restarts}"
        self.leases[index] = make_lease(self.platform, self.clocks[index], holder)

    @invariant()
    def one_holder_with_a_unique_fencing_number(self) -> None:
        valid = [lease for lease in self.leases if lease.is_valid]
        assert len(valid) <= 1
        for lease in valid:
            number = lease.fencing_number()
            assert self.holder_by_number.setdefault(number, id(lease)) == id(lease)
            assert number == max(self.holder_by_number)


TestLeaseMachine = LeaseMachine.TestCase
TestLeaseMachine.settings = run_settings(
    max_examples=100, stateful_step_count=50, derandomize=True, deadline=None, database=None
)
