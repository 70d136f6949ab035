"""Estimates of engine step time and of the tail of online latency from observed token intervals."""

from collections import deque
from threading import Lock

# An observation loses half its weight after about 140 further ones, which are some seconds of
# decoding.
DECAY_FACTOR = 0.995
# The initial estimate counts as samples of this weight at 1 sequence and at 1 +
# PRIOR_EXTRA_SEQUENCES, so that a few observations of one batch size do not determine the slope.
PRIOR_WEIGHT = 4.0
PRIOR_EXTRA_SEQUENCES = 16
# Intervals that contain a prefill are longer than a decoding step, so each observation is capped at
# this multiple of the predicted step time.
MAX_INTERVAL_RATIO = 1.5
MIN_SEQUENCE_MS = 0.01
MIN_BASE_MS = 0.1


class StepTimeModel:
    """Linear model of step time by number of sequences, fitted by decayed least squares.

    Safe to use from any thread. All streams of an engine get a token in the same step, so an
    observation within half a step of the last one is ignored.

    :param base_ms: initial estimate of the time of a step with one sequence.
    :param sequence_ms: initial estimate of the time that each further sequence adds to a step.
    """

    __slots__ = ("_lock", "_next_sample_ms", "_sums", "base_ms", "sequence_ms")

    def __init__(self, base_ms: float, sequence_ms: float) -> None:
        self.base_ms = base_ms
        self.sequence_ms = sequence_ms
        self._lock = Lock()
        self._next_sample_ms = float("-inf")
        self._sums = [0.0] * 5
        self._add_sample(0, base_ms, PRIOR_WEIGHT)
        self._add_sample(
            PRIOR_EXTRA_SEQUENCES, base_ms + PRIOR_EXTRA_SEQUENCES * sequence_ms, PRIOR_WEIGHT
        )

    def predict_ms(self, sequences: int) -> float:
        """Return the estimated time in milliseconds of a decoding step.

        :param sequences: number of sequences in the engine's batch.
        """
        return self.base_ms + self.sequence_ms * max(0, sequences - 1)

    def observe(self, now_ms: float, sequences: int, interval_ms: float) -> None:
        """Record the time between two tokens of one stream.

        :param now_ms: monotonic time at the end of the interval.
        :param sequences: number of sequences in the batch at the end of the interval.
        :param interval_ms: the time between the tokens.
        """
        with self._lock:
            if now_ms < self._next_sample_ms:
                return
            predicted_ms = self.predict_ms(sequences)
            self._next_sample_ms = now_ms + predicted_ms / 2
            self._sums = [value * DECAY_FACTOR for value in self._sums]
            self._add_sample(
                sequences - 1, min(interval_ms, predicted_ms * MAX_INTERVAL_RATIO), 1.0
            )
            self._fit()

    def _add_sample(self, extra_sequences: int, step_ms: float, weight: float) -> None:
        terms = (
            1.0,
            extra_sequences,
            extra_sequences * extra_sequences,
            step_ms,
            extra_sequences * step_ms,
        )
        self._sums = [value + weight * term for value, term in zip(self._sums, terms, strict=True)]

    def _fit(self) -> None:
        """Solve the normal equations; keep the slope while the batch sizes observed hardly vary."""
        weight, x, xx, y, xy = self._sums
        spread = weight * xx - x * x
        if spread > weight:
            self.sequence_ms = max(MIN_SEQUENCE_MS, (weight * xy - x * y) / spread)
        self.base_ms = max(MIN_BASE_MS, (y - self.sequence_ms * x) / weight)


TAIL_SAMPLES = 4_000
TAIL_REFRESH_SAMPLES = 200
TAIL_QUANTILE = 0.99


class OnlineTailEstimator:
    """Estimates the p99 that online token intervals would have without batch work.

    ``interval_ms`` is the estimate over the last :data:`TAIL_SAMPLES` tokens, renewed after every
    :data:`TAIL_REFRESH_SAMPLES` of them; 0 before the first estimate. Safe to use from any thread.

    :param step_times: gives the time that batch items added to an observed interval.
    """

    __slots__ = ("_lock", "_samples", "_samples_since_refresh", "_step_times", "interval_ms")

    def __init__(self, step_times: StepTimeModel) -> None:
        self._step_times = step_times
        self._lock = Lock()
        self._samples: deque[float] = deque(maxlen=TAIL_SAMPLES)
        self._samples_since_refresh = 0
        self.interval_ms = 0.0

    def observe(self, interval_ms: float, online: int, batch: int) -> None:
        """Record the time between two tokens of an online stream.

        :param interval_ms: the time between the tokens.
        :param online: number of online requests in the engine's batch.
        :param batch: number of batch items in it.
        """
        without_batch_ms = interval_ms - batch * self._step_times.sequence_ms
        with self._lock:
            self._samples.append(max(without_batch_ms, self._step_times.predict_ms(online)))
            self._samples_since_refresh += 1
            if self._samples_since_refresh >= TAIL_REFRESH_SAMPLES:
                self._samples_since_refresh = 0
                ordered = sorted(self._samples)
                self.interval_ms = ordered[int(TAIL_QUANTILE * (len(ordered) - 1))]
