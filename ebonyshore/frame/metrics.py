"""Counters, gauges and latency histograms of a process."""

from collections import Counter
from threading import Lock

from hdrh.histogram import HdrHistogram

MAX_TRACKABLE_US = 3_600_000_000  # one hour
SIGNIFICANT_DIGITS = 2  # a histogram takes 23 kB with two digits and 184 kB with three
US_PER_MS = 1000


class Metrics:
    """Named counters, gauges and histograms; safe to use from any thread."""

    __slots__ = ("_counters", "_gauges", "_histograms", "_lock")

    def __init__(self) -> None:
        self._lock = Lock()
        self._counters: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}
        self._histograms: dict[str, HdrHistogram] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to a counter, which starts at 0."""
        with self._lock:
            self._counters[name] += amount

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge to ``value``."""
        with self._lock:
            self._gauges[name] = value

    def record_ms(self, name: str, duration_ms: float) -> None:
        """Record a duration in a histogram.

        Durations are stored as whole microseconds, at least one, with two significant digits. A
        duration of more than one hour is not recorded.
        """
        with self._lock:
            histogram = self._histograms.get(name)
            if histogram is None:
                histogram = HdrHistogram(1, MAX_TRACKABLE_US, SIGNIFICANT_DIGITS)
                self._histograms[name] = histogram
            histogram.record_value(max(1, int(duration_ms * US_PER_MS)))

    def counter(self, name: str) -> int:
        """Return the value of a counter; 0 if it was never incremented."""
        with self._lock:
            return self._counters[name]

    def dump(self) -> dict[str, object]:
        """Return all values for the state dump.

        A histogram is a count, three percentiles and the maximum, in milliseconds.
        """
        with self._lock:
            return {
                "counters": dict(self._counters),
                "gauges": dict(self._gauges),
                "histograms": {name: _summarize(h) for name, h in self._histograms.items()},
            }

    def prometheus_text(self) -> str:
        """Return all values in the Prometheus text format."""
        values = self.dump()
        lines = [f"ebonyshore_{name}_total {v}" for name, v in values["counters"].items()]
        lines += [f"ebonyshore_{name} {value}" for name, value in values["gauges"].items()]
        for name, summary in values["histograms"].items():
            lines += [
                f'ebonyshore_{name}_ms{{quantile="{quantile}"}} {summary[key]}'
                for quantile, key in (("0.5", "p50_ms"), ("0.95", "p95_ms"), ("0.99", "p99_ms"))
            ]
            lines.append(f"ebonyshore_{name}_ms_count {summary['count']}")
        return "\n".join(lines) + "\n"


def _summarize(histogram: HdrHistogram) -> dict[str, float]:
    return {
        "count": histogram.get_total_count(),
        "p50_ms": histogram.get_value_at_percentile(50) / US_PER_MS,
        "p95_ms": histogram.get_value_at_percentile(95) / US_PER_MS,
        "p99_ms": histogram.get_value_at_percentile(99) / US_PER_MS,
        "max_ms": histogram.get_max_value() / US_PER_MS,
    }
