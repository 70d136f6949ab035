"""Leases in the object store, for duties that only one process may perform at a time.

A holder regards its lease as valid for the interval minus a margin, counted on its own monotonic
clock from the start of its last successful write. Another process acquires the lease only after it
has observed the same version of the record for a whole interval on its own clock. Each new holder
gets a higher fencing number than the one before.
"""

from random import Random

from msgspec import Struct

from ebonyshore.frame.clock import Clock
from ebonyshore.frame.errors import (
    LeaseLostError,
    StoreError,
    StoreUnavailableError,
    WriteConflictError,
    WriteOutcomeUnknownError,
)
from ebonyshore.store.marked_write import MarkedObject, MarkedStore

LEASE_PREFIX = "leases/"
DEFAULT_LEASE_INTERVAL_MS = 20_000
# A holder stops this fraction of the interval early, which bounds the tolerated drift between the
# clocks of two processes.
CLOCK_DRIFT_MARGIN_RATIO = 0.1
RENEWALS_PER_INTERVAL = 4
MAX_CANDIDATE_INTERVAL_RATIO = 1.5  # longest time between two reads of a candidate, in intervals


class LeaseRecord(Struct, frozen=True):
    """The stored lease. Each renewal writes it again, which changes the object's version.

    :param holder: incarnation of the holding process; empty after a release.
    :param holder_id: instance id of the holder, for information only.
    :param fencing_number: increases with each new holder.
    """

    holder: str
    holder_id: str
    fencing_number: int


class ObservedVersion(Struct, frozen=True):
    """A version of the record while another process holds the lease.

    :param version: the object's version.
    :param seen_ms: time at which the first read that returned this version had ended.
    """

    version: int
    seen_ms: float


class Lease:
    """Acquires and renews the lease of one duty for this process. Not thread-safe.

    :param store: stores the lease.
    :param duty: name of the duty.
    :param holder: incarnation of this process; a restarted instance is a different holder.
    :param holder_id: instance id of this process, for information only.
    :param clock: provides the monotonic time.
    :param interval_ms: time after which a lease that is not renewed expires; must be the same in
        all processes.
    """

    __slots__ = (
        "_clock",
        "_held",
        "_holder",
        "_holder_id",
        "_interval_ms",
        "_key",
        "_next_attempt_ms",
        "_observed",
        "_random",
        "_store",
        "_valid_until_ms",
    )

    def __init__(
        self,
        store: MarkedStore,
        duty: str,
        holder: str,
        holder_id: str,
        clock: Clock,
        interval_ms: float = DEFAULT_LEASE_INTERVAL_MS,
    ) -> None:
        self._store = store
        self._key = LEASE_PREFIX + duty
        self._holder = holder
        self._holder_id = holder_id
        self._clock = clock
        self._interval_ms = interval_ms
        self._held: MarkedObject[LeaseRecord] | None = None
        self._valid_until_ms = float("-inf")
        self._observed: ObservedVersion | None = None
        self._next_attempt_ms = float("-inf")
        self._random = Random()

    @property
    def is_valid(self) -> bool:
        """Whether this process may act under the lease now; check it right before each action."""
        return self._held is not None and self._clock.monotonic_ms() < self._valid_until_ms

    def fencing_number(self) -> int:
        """Return the fencing number for orders that are given under the lease.

        :raises LeaseLostError: if the lease is not valid now.
        """
        if self._held is None or not self.is_valid:
            raise LeaseLostError(self._key)
        return self._held.body.fencing_number

    def acquire_or_renew(self) -> bool:
        """Renew the lease, or acquire it if it is free.

        To be called several times per interval, see :meth:`renewal_interval_ms`. While the store is
        unavailable, a valid lease remains valid until it expires; conflicts, outages and lost
        responses are not raised.

        :return: whether the lease is valid now.
        """
        try:
            if self._held is not None:
                self._renew(self._held)
            else:
                self._try_to_acquire()
        except WriteConflictError:
            self._held = None
            self._observed = None
        except WriteOutcomeUnknownError:
            self._held = None  # not valid until the record was read and written again
        except StoreUnavailableError:
            pass
        return self.is_valid

    def release(self) -> None:
        """Release the lease, so that another process can acquire it at once.

        Errors of the store are not raised.
        """
        held, self._held = self._held, None
        self._valid_until_ms = float("-inf")
        if held is None:
            return
        try:
            self._store.replace(held, LeaseRecord("", "", held.body.fencing_number))
        except StoreError:
            return  # the lease expires after the interval

    def maintain(self) -> bool:
        """Call :meth:`acquire_or_renew` if it is due.

        A process that does not hold the lease reads it at most once per interval, so that many
        candidates cause few store calls.

        :return: whether the lease is valid now.
        """
        now_ms = self._clock.monotonic_ms()
        if now_ms >= self._next_attempt_ms:
            self.acquire_or_renew()
            candidate_interval_ms = self._interval_ms * self._random.uniform(
                1.0, MAX_CANDIDATE_INTERVAL_RATIO
            )
            self._next_attempt_ms = now_ms + (
                self.renewal_interval_ms() if self._held else candidate_interval_ms
            )
        return self.is_valid

    def renewal_interval_ms(self) -> float:
        """Return the time between two calls of :meth:`acquire_or_renew`."""
        return self._interval_ms / RENEWALS_PER_INTERVAL

    def _renew(self, held: MarkedObject[LeaseRecord]) -> None:
        self._write(held, held.body)

    def _try_to_acquire(self) -> None:
        began_ms = self._clock.monotonic_ms()
        current = self._store.read(self._key, LeaseRecord)
        if current is None:
            absent = MarkedObject(self._key, 0, 0, (), LeaseRecord("", "", 0))
            self._write(absent, LeaseRecord(self._holder, self._holder_id, 1))
        elif current.body.holder == self._holder:
            self._write(current, current.body)
        elif not current.body.holder or self._has_expired(current.version, began_ms):
            next_number = current.body.fencing_number + 1
            self._write(current, LeaseRecord(self._holder, self._holder_id, next_number))

    def _has_expired(self, version: int, read_began_ms: float) -> bool:
        """Return whether the record has kept ``version`` for a whole interval.

        :param version: version returned by the latest read.
        :param read_began_ms: time at which that read began, up to which the interval is counted.
        """
        if self._observed is None or self._observed.version != version:
            self._observed = ObservedVersion(version, self._clock.monotonic_ms())
            return False
        return read_began_ms - self._observed.seen_ms >= self._interval_ms

    def _write(self, previous: MarkedObject[LeaseRecord], record: LeaseRecord) -> None:
        began_ms = self._clock.monotonic_ms()
        self._held = self._store.replace(previous, record)
        self._valid_until_ms = began_ms + self._interval_ms * (1 - CLOCK_DRIFT_MARGIN_RATIO)
        self._observed = None
