"""Replays random fleets in which a part of a prompt crashes targets, and compares rules.

A rule infers from runs that ended with their target, and from runs that did not, which parts
requests must not have. Two errors are counted: requests with a bad part that are sent too late, and
sound requests that are refused. The same seed gives the same result.

.venv/bin/python -m tools.replay_suspects --seeds 40
"""

from abc import ABC, abstractmethod
from heapq import heappop, heappush
from itertools import count
from math import exp, log, sqrt
from random import Random
from typing import Annotated

import typer
from msgspec import Struct

from ebonyshore.link.messages import CrashReport
from ebonyshore.link.suspicion import SHARED_CONVICTION_CRASHES, SuspicionTable

DAY_MS = 40_000.0
TOLERATED_CRASHES = 5
SETTLE_MS = 3_000.0
MAX_LATE_SENDS = 3
RUN_MS = 700.0
RESTART_MS = 2_000.0
MAX_ATTEMPTS = 2
IMMUNITY_MS = 30_000.0
EXPIRY_MS = 600_000.0


class Scenario(Struct):
    """A fleet and its traffic; the rates are requests or crashes a second over the whole fleet.

    :param parts: parts of a prompt, the request's own last part included.
    :param rare_parts: number of parts that few requests share; one of each request is of these.
    :param companions: parts that all bad requests have and hardly any sound one.
    :param bad_from_ms: start of the bad requests; sound ones of the same kind begin then as well if
        ``is_cold``.
    """

    name: str
    targets: int = 10
    sound_rate: float = 15.0
    bad_rate: float = 4.0
    parts: int = 4
    bad_parts: int = 1
    rare_parts: int = 50
    companions: int = 0
    other_crash_rate: float = 0.0
    lost_share: float = 0.0
    late_share: float = 0.0
    repeated_share: float = 0.0
    is_cold: bool = False
    bad_from_ms: float = 5_000.0


SCENARIOS = (
    Scenario("plain"),
    Scenario("two parts", parts=2, rare_parts=1),
    Scenario("eight parts", parts=8),
    Scenario("two bad parts", bad_parts=2),
    Scenario("companion", companions=1),
    Scenario("other crashes", other_crash_rate=1.0),
    Scenario("lost, late, repeated", lost_share=0.2, late_share=0.2, repeated_share=0.2),
    Scenario("cold start", is_cold=True),
    Scenario("cold, other crashes", is_cold=True, other_crash_rate=1.0),
    Scenario("rare", bad_rate=0.3, other_crash_rate=0.3),
    Scenario("no bad part", bad_rate=0.0, other_crash_rate=2.0),
)


class Rule(ABC):
    """Decides which requests are refused."""

    @abstractmethod
    def record_crash(self, crash_id: str, runs: list[tuple[str, ...]], now_ms: float) -> None:
        """Learn of a crash and of the parts of the runs that ended with it."""

    @abstractmethod
    def record_completed(self, parts: tuple[str, ...], now_ms: float) -> None:
        """Learn of a run that completed."""

    @abstractmethod
    def is_refused(self, parts: tuple[str, ...], now_ms: float) -> bool:
        """Return whether a request must not be sent."""


class TableRule(Rule):
    """The product's table: crashes since the last completion, and tests of single parts.

    :param tells_apart: whether requests are sent that have one of several parts which were in
        flight at the same crashes.
    """

    def __init__(self, tells_apart: bool = True) -> None:
        self._tells_apart = tells_apart
        self._table = SuspicionTable(EXPIRY_MS, SHARED_CONVICTION_CRASHES)
        self._completed_ms: dict[str, float] = {}

    def record_crash(self, crash_id: str, runs: list[tuple[str, ...]], now_ms: float) -> None:
        parts = {part for run in runs for part in run}
        suspects = sorted(p for p in parts if not self._is_immune(p, now_ms))
        self._table.record_crash(CrashReport(crash_id, "", tuple(suspects)), now_ms)

    def record_completed(self, parts: tuple[str, ...], now_ms: float) -> None:
        for part in parts:
            self._completed_ms[part] = now_ms
            self._table.record_completed(part)

    def is_refused(self, parts: tuple[str, ...], now_ms: float) -> bool:
        if self._tells_apart:
            return self._table.is_refused(parts, now_ms)
        return any(self._table.is_convicted(part, now_ms) for part in parts)

    def _is_immune(self, part: str, now_ms: float) -> bool:
        return now_ms - self._completed_ms.get(part, float("-inf")) < IMMUNITY_MS


class BayesianRule(Rule):
    """Posterior odds of each part; a crash is explained by any bad part or by another reason."""

    PRIOR = log(1e-3)
    OTHER_REASON = 0.2
    COMPLETION = log(0.01)
    MIN_ODDS = log(1e-6)
    CONVICTION = log(99.0)

    def __init__(self) -> None:
        self._odds: dict[str, float] = {}

    def _probability(self, part: str) -> float:
        return 1.0 / (1.0 + exp(-self._odds.get(part, self.PRIOR)))

    def record_crash(self, crash_id: str, runs: list[tuple[str, ...]], now_ms: float) -> None:
        parts = sorted({part for run in runs for part in run})
        known = {part: self._probability(part) for part in parts}
        for part in parts:
            unexplained = 1.0 - self.OTHER_REASON
            for other, probability in known.items():
                if other != part:
                    unexplained *= 1.0 - probability
            odds = self._odds.get(part, self.PRIOR) - log(1.0 - unexplained)
            self._odds[part] = odds

    def record_completed(self, parts: tuple[str, ...], now_ms: float) -> None:
        for part in parts:
            odds = self._odds.get(part, self.PRIOR) + self.COMPLETION
            self._odds[part] = max(self.MIN_ODDS, odds)

    def is_refused(self, parts: tuple[str, ...], now_ms: float) -> bool:
        return any(self._odds.get(part, self.PRIOR) > self.CONVICTION for part in parts)


class SpectrumRule(Rule):
    """Ochiai's coefficient over the runs that ended with a target and those that completed."""

    MIN_CRASHES = 5
    MIN_COEFFICIENT = 0.5

    def __init__(self) -> None:
        self._crashed: dict[str, int] = {}
        self._completed: dict[str, int] = {}
        self._crashes = 0

    def record_crash(self, crash_id: str, runs: list[tuple[str, ...]], now_ms: float) -> None:
        self._crashes += 1
        for part in {part for run in runs for part in run}:
            self._crashed[part] = self._crashed.get(part, 0) + 1

    def record_completed(self, parts: tuple[str, ...], now_ms: float) -> None:
        for part in parts:
            self._completed[part] = self._completed.get(part, 0) + 1

    def is_refused(self, parts: tuple[str, ...], now_ms: float) -> bool:
        return any(self._coefficient(part) > self.MIN_COEFFICIENT for part in parts)

    def _coefficient(self, part: str) -> float:
        crashed = self._crashed.get(part, 0)
        if crashed < self.MIN_CRASHES:
            return 0.0
        return crashed / sqrt(self._crashes * (crashed + self._completed.get(part, 0)))


class Run(Struct, eq=False):
    """One run; the request's last part is left out of ``parts``."""

    parts: tuple[str, ...]
    is_bad: bool
    attempts: int
    target: int
    has_ended: bool = False


class Replay:
    """One day with one rule."""

    def __init__(self, scenario: Scenario, rule: Rule, seed: int) -> None:
        self._scenario = scenario
        self._rule = rule
        self._random = Random(seed)
        self._evidence = Random(seed + 1)
        self._order = count()
        self._events: list[tuple[float, int, object, tuple]] = []
        self._running: list[set[Run]] = [set() for _ in range(scenario.targets)]
        self._up = [True] * scenario.targets
        self._crashes = count()
        self._bad_crashes_ms: dict[str, list[float]] = {}
        self._bad_sends_ms: dict[str, list[float]] = {}
        self.sound = 0
        self.sound_refused = 0

    def run(self) -> "Replay":
        scenario = self._scenario
        self._arrive(False, scenario.sound_rate, scenario.bad_from_ms if scenario.is_cold else 0.0)
        self._arrive(True, scenario.bad_rate, scenario.bad_from_ms)
        self._crash_for_another_reason(0.0, is_first=True)
        while self._events:
            at_ms, _, action, arguments = heappop(self._events)
            if at_ms > DAY_MS:
                break
            action(at_ms, *arguments)
        return self

    @property
    def late_sends(self) -> int:
        """Most sends with one bad part later than allowed after its fifth crash."""
        return max((self._late_sends(part) for part in self._bad_crashes_ms), default=0)

    def _late_sends(self, part: str) -> int:
        crashes_ms = sorted(self._bad_crashes_ms[part])
        if len(crashes_ms) < TOLERATED_CRASHES:
            return 0
        settled_ms = crashes_ms[TOLERATED_CRASHES - 1] + SETTLE_MS
        return sum(at_ms > settled_ms for at_ms in self._bad_sends_ms[part])

    def _at(self, at_ms: float, action: object, *arguments: object) -> None:
        heappush(self._events, (at_ms, next(self._order), action, arguments))

    def _arrive(self, is_bad: bool, rate: float, from_ms: float) -> None:
        at_ms = from_ms
        while rate and (at_ms := at_ms + self._random.expovariate(rate) * 1_000.0) < DAY_MS:
            self._at(at_ms, self._request, self._parts(is_bad), is_bad)

    def _parts(self, is_bad: bool) -> tuple[str, ...]:
        scenario = self._scenario
        middle = scenario.parts - 2
        parts = ["part-first"]
        if middle:
            parts.append(f"part-rare{self._random.randrange(scenario.rare_parts)}")
        parts += [f"part-{n}-{self._random.randrange(6)}" for n in range(middle - 1)]
        if is_bad:
            bad = f"part-bad{self._random.randrange(scenario.bad_parts)}"
            parts[1:] = [bad, *parts[1 : max(1, middle)]]
            parts += [f"part-companion{n}" for n in range(scenario.companions)]
        elif scenario.companions and self._random.random() < 0.1:
            parts.append("part-companion0")
        return tuple(parts)

    def _request(self, at_ms: float, parts: tuple[str, ...], is_bad: bool) -> None:
        self.sound += not is_bad
        self._send(at_ms, parts, is_bad, 1)

    def _send(self, at_ms: float, parts: tuple[str, ...], is_bad: bool, attempt: int) -> None:
        if self._rule.is_refused(parts, at_ms):
            self.sound_refused += not is_bad
            return
        up = [number for number, is_up in enumerate(self._up) if is_up]
        if not up:
            return
        run = Run(parts, is_bad, attempt, self._random.choice(up))
        self._running[run.target].add(run)
        if is_bad:
            self._bad_sends_ms.setdefault(_bad_part(parts), []).append(at_ms)
            self._at(at_ms + self._random.uniform(20.0, 250.0), self._end_badly, run)
        else:
            self._at(at_ms + self._random.uniform(0.5, 1.5) * RUN_MS, self._complete, run)

    def _complete(self, at_ms: float, run: Run) -> None:
        if not run.has_ended:
            run.has_ended = True
            self._running[run.target].discard(run)
            self._rule.record_completed(run.parts, at_ms)

    def _end_badly(self, at_ms: float, run: Run) -> None:
        if not run.has_ended:
            self._bad_crashes_ms.setdefault(_bad_part(run.parts), []).append(at_ms)
            self._crash(at_ms, run.target)

    def _crash_for_another_reason(self, at_ms: float, is_first: bool = False) -> None:
        rate = self._scenario.other_crash_rate
        if not is_first:
            self._crash(at_ms, self._random.randrange(self._scenario.targets))
        if rate:
            next_ms = at_ms + self._random.expovariate(rate) * 1_000.0
            self._at(next_ms, self._crash_for_another_reason)

    def _crash(self, at_ms: float, target: int) -> None:
        runs, self._running[target] = self._running[target], set()
        self._up[target] = False
        self._at(at_ms + RESTART_MS, self._restart, target)
        ended = [run for run in runs if not run.has_ended]
        for run in ended:
            run.has_ended = True
            if run.attempts < MAX_ATTEMPTS:
                self._at(at_ms + 3.0, self._send, run.parts, run.is_bad, run.attempts + 1)
        self._report(at_ms, f"crash{next(self._crashes)}", [run.parts for run in ended])

    def _report(self, at_ms: float, crash_id: str, runs: list[tuple[str, ...]]) -> None:
        scenario = self._scenario
        known = [parts for parts in runs if self._evidence.random() >= scenario.lost_share]
        is_late = self._evidence.random() < scenario.late_share
        delay_ms = self._evidence.uniform(500.0, 1_900.0) if is_late else 30.0
        if known:
            self._at(at_ms + delay_ms, self._learn, crash_id, known)
        if known and self._evidence.random() < scenario.repeated_share:
            self._at(at_ms + 2.0 * delay_ms, self._learn, crash_id, known)

    def _learn(self, at_ms: float, crash_id: str, runs: list[tuple[str, ...]]) -> None:
        self._rule.record_crash(crash_id, runs, at_ms)

    def _restart(self, at_ms: float, target: int) -> None:
        self._up[target] = True


def _bad_part(parts: tuple[str, ...]) -> str:
    return next(part for part in parts if part.startswith("part-bad"))


RULES = {
    "count": lambda: TableRule(tells_apart=False),
    "count, told apart": TableRule,
    "Bayes": BayesianRule,
    "Ochiai": SpectrumRule,
}


def compare(seeds: Annotated[int, typer.Option(min=1)] = 20) -> None:
    """Print, for each scenario and rule, both errors over all seeds."""
    for scenario in SCENARIOS:
        for name, make_rule in RULES.items():
            replays = [Replay(scenario, make_rule(), seed).run() for seed in range(seeds)]
            broken = sum(replay.late_sends > MAX_LATE_SENDS for replay in replays)
            late = max(replay.late_sends for replay in replays)
            sound = sum(replay.sound for replay in replays)
            refused = sum(replay.sound_refused for replay in replays)
            typer.echo(
                f"{scenario.name:22} {name:18} days over {MAX_LATE_SENDS}: {broken:3}/{seeds}"
                f"  most late: {late:3}  sound refused: {100 * refused / max(1, sound):6.2f}%"
            )


if __name__ == "__main__":
    typer.run(compare)
