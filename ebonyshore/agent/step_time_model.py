"""Estimates the time of an engine step, and the tail of online latency, from observed tokens."""

from collections import deque
from threading import Lock

# An observation loses half its weight after about 140 further ones, some seconds of decoding.
DECAY = 0.995
# Weight of the first estimate, so that a few observations of one batch size cannot fix the slope.
PRIOR_WEIGHT = 4.0
PRIOR_SPAN = 16
# Intervals that contain a prefill are longer than a decoding step; they count only this far.
MAX_RATIO = 1.5
MIN_SEQUENCE_MS = 0.01
MIN_BASE_MS = 0.1


class StepTimeModel:
    """A line through (sequences, step time), fitted by decayed least squares.

    Safe to use from any thread. All streams of an engine get a token in the same step, so an
    observation that comes within half a step of the last one is ignored.

    :param base_ms: first estimate of the step time with one sequence.
    :param sequence_ms: first estimate of the additional time of each further sequence.
    """

    __slots__ = ("_lock", "_next_ms", "_sums", "base_ms", "sequence_ms")

    def __init__(self, base_ms: float, sequence_ms: float) -> None:
        self.base_ms = base_ms
        self.sequence_ms = sequence_ms
        self._lock = Lock()
        self._next_ms = float("-inf")
        self._sums = [0.0] * 5
        self._add(0, base_ms, PRIOR_WEIGHT)
        self._add(PRIOR_SPAN, base_ms + PRIOR_SPAN * sequence_ms, PRIOR_WEIGHT)

    def predict_ms(self, sequences: int) -> float:
        """Return the estimated time of a decoding step."""
        return self.base_ms + self.sequence_ms * max(0, sequences - 1)

    def observe(self, now_ms: float, sequences: int, interval_ms: float) -> None:
        """Take the time between two tokens of one stream.

        :param sequences: in the batch at the end of the interval.
        """
        with self._lock:
            if now_ms < self._next_ms:
                return
            predicted_ms = self.predict_ms(sequences)
            self._next_ms = now_ms + predicted_ms / 2
            self._sums = [value * DECAY for value in self._sums]
            self._add(sequences - 1, min(interval_ms, predicted_ms * MAX_RATIO), 1.0)
            self._fit()

    def _add(self, further: int, step_ms: float, weight: float) -> None:
        terms = (1.0, further, further * further, step_ms, further * step_ms)
        self._sums = [value + weight * term for value, term in zip(self._sums, terms, strict=True)]

    def _fit(self) -> None:
        weight, x, xx, y, xy = self._sums
        spread = weight * xx - x * x
        if spread > weight:
            self.sequence_ms = max(MIN_SEQUENCE_MS, (weight * xy - x * y) / spread)
        self.base_ms = max(MIN_BASE_MS, (y - self.sequence_ms * x) / weight)


TAIL_SAMPLES = 4_000
TAIL_REFRESH_SAMPLES = 200
TAIL_RATIO = 0.99


class OnlineTailEstimator:
    """p99 that online token intervals would have without batch work, over recent tokens.

    Safe to use from any thread.

    :param cost: used to take the share of the batch items out of an observed interval.
    """

    __slots__ = ("_cost", "_lock", "_samples", "_unused", "interval_ms")

    def __init__(self, cost: StepTimeModel) -> None:
        self._cost = cost
        self._lock = Lock()
        self._samples: deque[float] = deque(maxlen=TAIL_SAMPLES)
        self._unused = 0
        self.interval_ms = 0.0

    def observe(self, interval_ms: float, online: int, batch: int) -> None:
        """Take the time between two tokens of an online stream.

        :param online: online requests in the batch.
        :param batch: batch items in it.
        """
        alone_ms = interval_ms - batch * self._cost.sequence_ms
        with self._lock:
            self._samples.append(max(alone_ms, self._cost.predict_ms(online)))
            self._unused += 1
            if self._unused >= TAIL_REFRESH_SAMPLES:
                self._unused = 0
                ordered = sorted(self._samples)
                self.interval_ms = ordered[int(TAIL_RATIO * (len(ordered) - 1))]
