"""Measures how fast this runner can complete batch work, to predict when it is done. No I/O."""

from math import exp

from ebonyshore.frame.clock import MS_PER_S

# Longer than a burst of online requests and the quiet period after it.
SLOTS_TIME_CONSTANT_MS = 8.0 * MS_PER_S
SLOT_TIME_SMOOTHING = 0.1  # weight of each new value in the exponential moving average
MIN_COMPLETIONS = 8  # fewer say little about the slot time


class CompletionRate:
    """The slots that batch items can use, and the slot time of an item.

    All times are milliseconds of one monotonic clock.

    :ivar slots: moving average of the number of slots that this runner's items can use.
    :ivar slot_ms_per_token: time for which an item occupies a slot, per token of the item; 0 before
        the first completion.
    """

    __slots__ = (
        "_completions",
        "_first_slots_ms",
        "_slots_ms",
        "slot_ms_per_token",
        "slots",
    )

    def __init__(self) -> None:
        self._completions = 0
        self._first_slots_ms: float | None = None
        self._slots_ms = 0.0
        self.slots = 0.0
        self.slot_ms_per_token = 0.0

    def record_completion(self, tokens: int, slot_ms: float) -> None:
        """Include a completed item in the mean slot time.

        :param tokens: tokens of the item; it is ignored if there are none.
        :param slot_ms: time for which it occupied a slot, over all its runs.
        """
        if tokens <= 0:
            return
        sample = slot_ms / tokens
        if not self._completions:
            self.slot_ms_per_token = sample
        self._completions += 1
        self.slot_ms_per_token += SLOT_TIME_SMOOTHING * (sample - self.slot_ms_per_token)

    def record_slots(self, slots: int, now_ms: float) -> None:
        """Include the present number of usable slots, taken or free, in their mean.

        Until the time constant has passed, all values since the start have the same weight. The
        first ones, before the load of other processes is known, are too high.
        """
        if self._first_slots_ms is None:
            self._first_slots_ms = self._slots_ms = now_ms
            self.slots = float(slots)
            return
        span_ms = min(SLOTS_TIME_CONSTANT_MS, max(1.0, now_ms - self._first_slots_ms))
        weight = 1.0 - exp(-(now_ms - self._slots_ms) / span_ms)
        self.slots += weight * (slots - self.slots)
        self._slots_ms = now_ms

    def tokens_per_ms(self) -> float | None:
        """Return the rate at which this runner can complete work; ``None`` if it is not known."""
        if self._completions < MIN_COMPLETIONS or not self.slot_ms_per_token:
            return None
        return self.slots / self.slot_ms_per_token
