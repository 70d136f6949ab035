"""A lease for a duty that has one holder at a time, kept in the object store.

The holder treats its lease as valid only until the start of its last successful write plus the
interval minus a margin, on its own monotonic clock. Others take the lease only after they have
seen the same version of the record for the whole interval on their own clock. Each holder has a
higher fencing number than the one before.
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
MARGIN_RATIO = 0.1  # bounds the drift of clocks against each other
RENEWALS_PER_INTERVAL = 4
MAX_CANDIDATE_PAUSE_RATIO = 1.5


class LeaseRecord(Struct, frozen=True):
    """The stored lease; each renewal writes it anew, so its version changes.

    :param holder: incarnation of the holding process; empty after a release.
    :param holder_id: instance id of the holder, for people.
    :param fencing_number: grows with each holder.
    """

    holder: str
    holder_id: str
    fencing_number: int


class Observation(Struct, frozen=True):
    """A version of the record that another process holds.

    :param seen_ms: when the first read that returned this version had ended.
    """

    version: int
    seen_ms: float


class Lease:
    """One process's part in the lease of a duty; for one thread.

    :param duty: name of the duty.
    :param holder: incarnation of this process; an instance that restarts is another holder.
    :param interval_ms: the same in every process.
    """

    __slots__ = (
        "_clock",
        "_held",
        "_holder",
        "_holder_id",
        "_interval_ms",
        "_key",
        "_next_poll_ms",
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
        self._observed: Observation | None = None
        self._next_poll_ms = float("-inf")
        self._random = Random()

    @property
    def is_valid(self) -> bool:
        """Whether this process may act under the lease now; ask right before each act."""
        return self._held is not None and self._clock.monotonic_ms() < self._valid_until_ms

    def fencing_number(self) -> int:
        """Return the number that orders under the lease carry.

        :raises LeaseLostError: if the lease is not valid now.
        """
        if self._held is None or not self.is_valid:
            raise LeaseLostError(self._key)
        return self._held.body.fencing_number

    def acquire_or_renew(self) -> bool:
        """Renew the lease, or take it if it is free; call several times in each interval.

        :return: whether it is valid now. An outage leaves a valid lease to run out.
        """
        try:
            if self._held is not None:
                self._renew(self._held)
            else:
                self._try_to_take()
        except WriteConflictError:
            self._held = None
            self._observed = None
        except WriteOutcomeUnknownError:
            self._held = None  # read again; the lease is not used until a write has succeeded
        except StoreUnavailableError:
            pass
        return self.is_valid

    def release(self) -> None:
        """Give the lease back, so that another process may take it at once; never raises."""
        held, self._held = self._held, None
        self._valid_until_ms = float("-inf")
        if held is None:
            return
        try:
            self._store.replace(held, LeaseRecord("", "", held.body.fencing_number))
        except StoreError:
            return  # it lapses after the interval

    def maintain(self) -> bool:
        """Call :meth:`acquire_or_renew` when it is due; return whether the lease is valid now.

        A process that does not hold the lease reads it once in an interval or less often, so that
        many candidates cost the store few calls.
        """
        now_ms = self._clock.monotonic_ms()
        if now_ms >= self._next_poll_ms:
            self.acquire_or_renew()
            pause_ms = self._interval_ms * self._random.uniform(1.0, MAX_CANDIDATE_PAUSE_RATIO)
            self._next_poll_ms = now_ms + (self.renewal_interval_ms() if self._held else pause_ms)
        return self.is_valid

    def renewal_interval_ms(self) -> float:
        """Return how often to call :meth:`acquire_or_renew`."""
        return self._interval_ms / RENEWALS_PER_INTERVAL

    def _renew(self, held: MarkedObject[LeaseRecord]) -> None:
        self._write(held, held.body)

    def _try_to_take(self) -> None:
        began_ms = self._clock.monotonic_ms()
        current = self._store.read(self._key, LeaseRecord)
        if current is None:
            absent = MarkedObject(self._key, 0, 0, (), LeaseRecord("", "", 0))
            self._write(absent, LeaseRecord(self._holder, self._holder_id, 1))
        elif current.body.holder == self._holder:
            self._write(current, current.body)
        elif not current.body.holder or self._has_lapsed(current.version, began_ms):
            number = current.body.fencing_number + 1
            self._write(current, LeaseRecord(self._holder, self._holder_id, number))

    def _has_lapsed(self, version: int, read_began_ms: float) -> bool:
        """Return whether ``version`` was unchanged for the interval, up to the start of a read."""
        if self._observed is None or self._observed.version != version:
            self._observed = Observation(version, self._clock.monotonic_ms())
            return False
        return read_began_ms - self._observed.seen_ms >= self._interval_ms

    def _write(self, previous: MarkedObject[LeaseRecord], record: LeaseRecord) -> None:
        began_ms = self._clock.monotonic_ms()
        self._held = self._store.replace(previous, record)
        self._valid_until_ms = began_ms + self._interval_ms * (1 - MARGIN_RATIO)
        self._observed = None
