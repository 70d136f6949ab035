"""The time between the events of a target's streams, averaged with decaying weights. No I/O."""

from math import exp

USUAL_HALF_LIFE_MS = 30_000.0
RECENT_HALF_LIFE_MS = 700.0
MAX_LOAD_EFFECT = 0.2  # share by which one more running request may lengthen the time
LOAD_EFFECT_MEMORY = 0.9995  # kept of the earlier evidence with each new sample
LOAD_EFFECT_PRIOR = 20.0  # weight of the assumption that the load has no effect
MIN_SILENCE_MS = 400.0  # less is not told from a stream that waits for memory
MIN_SILENCE_RATIO = 10.0  # of the usual time between events
SILENCE_WEIGHT = 20.0  # of the events that did not come
MAX_SAMPLE_RATIO = 8.0  # of the usual time; a longer pause is a stall rather than slow work


class DecayingMean:
    """A weighted mean whose weights halve in a fixed time.

    :ivar value: the mean; 0 without any weight.
    """

    __slots__ = ("_at_ms", "_half_life_ms", "_weight", "value")

    def __init__(self, half_life_ms: float) -> None:
        self._half_life_ms = half_life_ms
        self._weight = 0.0
        self._at_ms = 0.0
        self.value = 0.0

    def add(self, value: float, weight: float, now_ms: float) -> None:
        """Include a value. ``weight`` is positive."""
        if now_ms > self._at_ms:
            self._weight *= 0.5 ** ((now_ms - self._at_ms) / self._half_life_ms)
            self._at_ms = now_ms
        self._weight += weight
        self.value += (value - self.value) * weight / self._weight

    def replace(self, value: float, weight: float, now_ms: float) -> None:
        """Forget all values but this one."""
        self.value, self._weight, self._at_ms = value, weight, now_ms

    def weight(self, now_ms: float) -> float:
        """Return the sum of the weights, as far as they have not decayed."""
        age_ms = max(0.0, now_ms - self._at_ms)
        return self._weight * 0.5 ** (age_ms / self._half_life_ms)


class LoadEffect:
    """Learns by how much each further request at a target lengthens the time between events.

    Only differences within one target count, so that slow targets, which hold more requests, are
    not mistaken for an effect of the load.
    """

    __slots__ = ("_covariance", "_variance")

    def __init__(self) -> None:
        self._covariance = 0.0
        self._variance = 0.0

    def record(self, load_difference: float, relative_time: float) -> None:
        """Include a sample.

        :param load_difference: requests at the target in comparison with the target's mean.
        :param relative_time: time between events in relation to the target's mean.
        """
        product = load_difference * (relative_time - 1.0)
        self._covariance = LOAD_EFFECT_MEMORY * self._covariance + product
        self._variance = LOAD_EFFECT_MEMORY * self._variance + load_difference * load_difference

    def factor(self, load_difference: float) -> float:
        """Return how many times as long events take with that many more requests."""
        effect = self._covariance / (self._variance + LOAD_EFFECT_PRIOR)
        return exp(min(MAX_LOAD_EFFECT, max(0.0, effect)) * load_difference)


class EventTimes:
    """What this process has seen of one kind of streams at one target.

    :param capacity: number of requests that the target runs concurrently.
    :param load_effect: shared by all targets; used and improved.
    :ivar usual: mean over tens of seconds, as at half of the capacity.
    :ivar recent: mean over the last second or so, as at half of the capacity.
    """

    __slots__ = ("_is_silent", "_load", "_load_effect", "_reference_load", "recent", "usual")

    def __init__(self, capacity: int, load_effect: LoadEffect) -> None:
        self._is_silent = False
        self._reference_load = capacity / 2
        self._load_effect = load_effect
        self._load = DecayingMean(USUAL_HALF_LIFE_MS)
        self.usual = DecayingMean(USUAL_HALF_LIFE_MS)
        self.recent = DecayingMean(RECENT_HALF_LIFE_MS)

    def record(self, elapsed_ms: float, events: int, running: float, now_ms: float) -> None:
        """Include the time that a stream took for some events.

        :param running: requests that the target runs at the same time, with this one.
        """
        time_ms = elapsed_ms / events / self._load_effect.factor(running - self._reference_load)
        if self.usual.value > 0:
            time_ms = min(time_ms, MAX_SAMPLE_RATIO * self.usual.value)
            self._load_effect.record(running - self._load.value, time_ms / self.usual.value)
        self._load.add(running, events, now_ms)
        self.usual.add(time_ms, events, now_ms)
        if self._is_silent:
            self._is_silent = False
            self.recent.replace(time_ms, events, now_ms)
        else:
            self.recent.add(time_ms, events, now_ms)

    def record_silence(self, silence_ms: float, now_ms: float) -> None:
        """Include that no stream at the target has gone on for a time, if that is long."""
        if silence_ms >= max(MIN_SILENCE_MS, MIN_SILENCE_RATIO * self.usual.value):
            self._is_silent = True
            self.recent.replace(silence_ms, SILENCE_WEIGHT, now_ms)
