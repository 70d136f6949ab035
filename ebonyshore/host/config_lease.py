"""Decides how long a process may rely on the configuration in force. No I/O.

A removed key must not be used later than a bound after the store acknowledged its removal, also by
a process that is cut off from the store or was suspended. A process therefore relies on the
configuration in force only for a time after a linearizable read of the store has shown that it is
the newest. What counts is the moment at which the read began: every version that was acknowledged
before is in its result.

Load pattern: entries that lose the store, or each other, while operators remove keys from callers
that keep sending.
"""

from collections.abc import Callable

from msgspec import Struct

# Part of the bound that is left for clocks that run at different rates.
CLOCK_DRIFT_SHARE = 0.02
# Age of a confirmation, as a part of the lease, from which a process reads the store itself. The
# rest has to suffice for a read that times out and for another one.
READ_AGE_SHARE = 1 / 3
READ_INTERVAL_MS = 1_000.0
MAX_READ_INTERVAL_MS = 2_000.0  # after reads that failed
MIN_READ_INTERVAL_MS = 200.0  # also if another process has seen a newer version
MAX_INTERVAL_DOUBLINGS = 8  # keeps the power of two small in a long outage
INTERVAL_SPREAD = 0.25  # highest random part that is added to an interval


class ConfigConfirmation(Struct, frozen=True):
    """The result of one linearizable read of the configuration.

    :param version: the version that was read.
    :param read_began_ms: boot clock of the process that holds the lease, at a moment before the
        read began.
    """

    version: int
    read_began_ms: float


class ConfigLease:
    """The time for which the configuration in force may be relied on.

    All times are milliseconds of the boot clock, which also runs while the instance is suspended.

    :param revocation_ms: bound on the use of a removed key after its removal was acknowledged.
    :ivar length_ms: time from the begin of a read to the end of the lease.
    """

    __slots__ = ("_ahead_ms", "_confirmed_ms", "length_ms")

    def __init__(self, revocation_ms: float) -> None:
        self.length_ms = revocation_ms * (1.0 - CLOCK_DRIFT_SHARE)
        self._confirmed_ms = float("-inf")
        self._ahead_ms: dict[int, float] = {}  # begin of the latest read by newer version

    def confirm(self, confirmation: ConfigConfirmation, version_in_force: int) -> None:
        """Extend the lease by a read, as soon as the version that was read is in force.

        Confirmations may arrive late, repeatedly and in any order.
        """
        version, read_began_ms = confirmation.version, confirmation.read_began_ms
        if version <= version_in_force:
            self._confirmed_ms = max(self._confirmed_ms, read_began_ms)
        else:
            known_ms = self._ahead_ms.get(version, read_began_ms)
            self._ahead_ms[version] = max(known_ms, read_began_ms)

    def is_behind(self, version_in_force: int) -> bool:
        """Return whether a read has shown a version that is not in force here yet."""
        return any(version > version_in_force for version in self._ahead_ms)

    def confirmed_ms(self, version_in_force: int) -> float:
        """Return the begin of the latest read that confirmed the version in force."""
        reached = [version for version in self._ahead_ms if version <= version_in_force]
        for version in reached:
            self._confirmed_ms = max(self._confirmed_ms, self._ahead_ms.pop(version))
        return self._confirmed_ms

    def remaining_ms(self, version_in_force: int, at_ms: float) -> float:
        """Return the time until the lease ends; zero or less if it has ended."""
        return self.confirmed_ms(version_in_force) + self.length_ms - at_ms


class ReadSchedule:
    """Decides when a process that holds a lease reads the configuration itself.

    Usually another process reads for all, and this one never does. It reads when the lease has not
    been extended for a while, and when it has heard of a version that it does not have.

    :param random: returns a number from 0 to 1; it spreads the reads of many processes.
    """

    __slots__ = ("_failures", "_interval_ms", "_random", "_read_ms", "_spread")

    def __init__(self, random: Callable[[], float]) -> None:
        self._random = random
        self._spread = 1.0 + INTERVAL_SPREAD * random()
        self._failures = 0
        self._read_ms = float("-inf")
        self._interval_ms = 0.0

    def due_ms(self, lease: ConfigLease, version_in_force: int) -> float:
        """Return the time from which the next read is due; it may have passed."""
        if lease.is_behind(version_in_force) and not self._failures:
            return self._read_ms + MIN_READ_INTERVAL_MS
        age_limit_ms = lease.length_ms * READ_AGE_SHARE * self._spread
        due_ms = lease.confirmed_ms(version_in_force) + age_limit_ms
        return max(due_ms, self._read_ms + self._interval_ms)

    def record_read(self, began_ms: float, has_succeeded: bool) -> None:
        """Record the result of a read.

        :param began_ms: begin of the read. The interval to the next one starts there, so that a
            read that times out does not delay the next one further.
        """
        self._failures = 0 if has_succeeded else self._failures + 1
        self._spread = 1.0 + INTERVAL_SPREAD * self._random()
        self._read_ms = began_ms
        doublings = min(max(0, self._failures - 1), MAX_INTERVAL_DOUBLINGS)
        self._interval_ms = self._spread * min(
            READ_INTERVAL_MS * 2**doublings, MAX_READ_INTERVAL_MS
        )
