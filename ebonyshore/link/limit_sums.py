"""The rate limits of targets over all processes, computed once for the messages to all. No I/O."""

from collections.abc import Iterable

from msgspec import structs

from ebonyshore.link.load_table import LimitReport
from ebonyshore.link.rate_limits import add_unheard, sum_limits


class LimitSums:
    """The newest limit of each target, and the requests of all processes there.

    :param reports: what all processes have reported.
    :param unheard: number of processes that are not heard of.
    :param processes: number of all processes that may send.
    """

    __slots__ = ("_processes", "_sums", "_unheard")

    def __init__(self, reports: Iterable[LimitReport], unheard: int, processes: int) -> None:
        self._sums = sum_limits(reports, 0, processes)
        self._unheard = unheard
        self._processes = processes

    def without(self, own: Iterable[LimitReport], is_heard: bool) -> tuple[LimitReport, ...]:
        """Return the limits with the requests of all processes but one.

        :param own: what that process has reported.
        :param is_heard: whether that process is heard of.
        """
        if not self._sums:
            return ()
        unheard = self._unheard if is_heard else max(0, self._unheard - 1)
        excluded = {report.incarnation: report for report in own}
        return tuple(
            add_unheard(_less(total, excluded.get(incarnation)), unheard / self._processes)
            for incarnation, total in self._sums.items()
        )


def _less(total: LimitReport, own: LimitReport | None) -> LimitReport:
    if own is None:
        return total
    return structs.replace(
        total,
        requests=max(0.0, total.requests - own.requests),
        wanted_per_s=max(0.0, total.wanted_per_s - own.wanted_per_s),
    )
