"""The incarnations of targets that have said that they leave, and what others are told of them."""

from collections.abc import Mapping

from ebonyshore.host.target import Target
from ebonyshore.link.load_table import Incarnation

MAX_LEAVING_INCARNATIONS = 8_192
# Time for which others are told of an incarnation that is not listed: they may not have heard of
# it yet, and its entry may come back.
LEAVING_NEWS_MS = 10_000.0


class LeavingRecord:
    """Remembers leaving incarnations, also those whose entries have lapsed, and announces them."""

    __slots__ = ("_announced", "_incarnations")

    def __init__(self) -> None:
        self._incarnations: dict[Incarnation, None] = {}  # oldest first
        # Incarnations to announce, with the time since which they have not been listed.
        self._announced: dict[Incarnation, float | None] = {}

    def __contains__(self, incarnation: Incarnation) -> bool:
        return incarnation in self._incarnations

    def add(self, incarnation: Incarnation) -> None:
        """Remember an incarnation, and announce it if it was not known to leave.

        An incarnation without a start is not remembered, since the next one would look the same.
        """
        if incarnation in self._incarnations:
            return
        self.announce(incarnation)
        if incarnation.started_ms:
            self._incarnations[incarnation] = None
        if len(self._incarnations) > MAX_LEAVING_INCARNATIONS:
            del self._incarnations[next(iter(self._incarnations))]

    def announce(self, incarnation: Incarnation) -> None:
        """Announce an incarnation that is listed as not leaving."""
        self._announced[incarnation] = None

    def announced(self, listed: Mapping[str, Target], now_ms: float) -> tuple[Incarnation, ...]:
        """Return the incarnations of which others are told.

        These are the ones whose entries do not say that they leave, and for
        :data:`LEAVING_NEWS_MS` those that are not listed.

        :param listed: the listed targets by id.
        """
        for incarnation, unlisted_ms in list(self._announced.items()):
            target = listed.get(incarnation.target_id)
            if target is None and incarnation.started_ms:
                since_ms = now_ms if unlisted_ms is None else unlisted_ms
                is_needed = now_ms - since_ms <= LEAVING_NEWS_MS
                self._announced[incarnation] = since_ms
            else:
                is_needed = target is not None and _is_unlisted_news(target, incarnation)
                self._announced[incarnation] = None
            if not is_needed:
                del self._announced[incarnation]
        return tuple(self._announced)


def _is_unlisted_news(target: Target, incarnation: Incarnation) -> bool:
    return target.incarnation == incarnation and target.is_leaving and not target.entry.is_leaving
