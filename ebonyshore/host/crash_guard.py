"""Detects requests that crash their targets, and keeps them from further ones.

After a run broke off, the target is asked whether it still serves. If it does not, all content that
it was running is suspect: whole requests, and the parts of their prompts. Content that was in
flight at several crashes without completing in between is convicted. Online requests with convicted
content are refused. Items are never suspect: a target that ended under one has another reason to
end, and the item is still owed. An item that completes clears its content all the same.
"""

from asyncio import Task, create_task, wait
from collections.abc import Iterable

from ebonyshore.frame.async_kernel import PeriodicService
from ebonyshore.frame.clock import Clock
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.frame.metrics import Metrics
from ebonyshore.host.content_run import SIMULTANEOUS_MS, ContentRun
from ebonyshore.host.request_content import RequestContent
from ebonyshore.host.stream_silence import SilenceScan
from ebonyshore.host.target import Target
from ebonyshore.host.target_check import TargetChecker, TargetCondition
from ebonyshore.host.targets import TargetTable
from ebonyshore.link.suspicion import CRASH_TIME_SEPARATOR
from ebonyshore.link.suspicion_exchange import SuspicionExchange

SUSPICION_EXPIRY_MS = 600_000.0
SILENCE_CHECK_MS = 1_000.0  # without a part of the response, after which the target is checked
SCAN_INTERVAL_MS = 250.0
MAX_SCAN_PAUSE_MS = 2 * SCAN_INTERVAL_MS
MAX_CONFIRMING_CHECKS = 3  # of a target that sends no report
# A target that restarts quickly answers its check. The list shows the restart within this time:
# three missing heartbeats and the delay of the list.
RESTART_LISTING_MS = 6_000.0
# What a check finds of a target that has lost its runs.
ENDED_CONDITIONS = (TargetCondition.DOWN, TargetCondition.RESTARTED)
# What a check finds of a target that is not down and may have been started again.
ANSWERED_CONDITIONS = (TargetCondition.ANSWERING, TargetCondition.INCONCLUSIVE)


class CrashGuard(PeriodicService):
    """Attributes crashes of targets to the content of this process's runs.

    Every run has to be begun with :meth:`begin` and ended with one of the ``end`` methods.

    :param targets: the known targets; a run of a target that is no longer listed has ended.
    :param checker: finds out whether a target is down.
    :param exchange: knows the crashes that all processes have seen.
    :param clock: provides the wall time, which all processes share.
    """

    name = "crash_guard"
    interval_ms = SCAN_INTERVAL_MS

    def __init__(
        self,
        targets: TargetTable,
        checker: TargetChecker,
        exchange: SuspicionExchange,
        clock: Clock,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._targets = targets
        self._checker = checker
        self._exchange = exchange
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._runs: dict[Target, set[ContentRun]] = {}
        self._checks: dict[Target, Task[TargetCondition]] = {}
        # Content of runs that broke, while their target is checked, and whether a crash would be
        # weak evidence against it.
        self._broken: dict[Target, dict[str, bool]] = {}
        # The same of runs that broke at targets that answered, and the time of the last break.
        self._unexplained: dict[Target, tuple[dict[str, bool], float]] = {}
        # Time of the last break that may have been a crash, by content digest.
        self._broken_ms: dict[str, float] = {}
        self._silence_scan = SilenceScan(MAX_SCAN_PAUSE_MS)

    def begin(
        self, target: Target, content: RequestContent, is_resumable: bool, is_item: bool = False
    ) -> ContentRun:
        """Record that a request is sent to a target.

        :param is_resumable: whether another run would continue after the last event of this one.
        :param is_item: whether the request runs a batch item.
        """
        at_ms = now_ms()
        broken_ms = self._broken_ms.get(content.digest, float("-inf"))
        follows_break = at_ms - broken_ms < SIMULTANEOUS_MS
        run = ContentRun(target, content, at_ms, is_resumable, is_item, follows_break)
        self._runs.setdefault(target, set()).add(run)
        return run

    def end(self, run: ContentRun) -> None:
        """Record the end of a run that says nothing about the target, or a repeated end."""
        runs = self._runs.get(run.target, set())
        runs.discard(run)
        if not runs:
            self._runs.pop(run.target, None)

    def end_completed(self, run: ContentRun) -> None:
        """Record that a run has completed, which clears its content.

        Whole content that is convicted is not cleared.
        """
        self.end(run)
        if run.is_end_certain:
            self._clear(run.content.digests)

    async def confirm_end(self, run: ContentRun) -> bool:
        """Return whether a response that ended with its connection may be complete.

        It is not if its target has ended as well: a target that crashes between two events, or
        leaves before its runs have ended, closes the connection in the same way. Nor is it if the
        target sends no report: a proxy before it may accept connections while it is gone.
        """
        condition = await self._check_after_end(run)
        # A restart is returned by one check only, and many answers may end with it.
        run.is_attributed = condition in ENDED_CONDITIONS or run.is_target_restarted
        run.is_end_certain = condition is TargetCondition.SERVING and not run.is_attributed
        return not run.is_attributed and condition is not TargetCondition.INCONCLUSIVE

    async def _check_after_end(self, run: ContentRun) -> TargetCondition:
        """Check the target of a run whose connection has ended, more than once if necessary.

        The report that a check gets may have been sent before the connection ended if the check
        was begun before. Such a check shows only that the target has ended.
        """
        earlier = self._checks.get(run.target)
        if earlier is not None:
            await wait([earlier])
            if earlier.result() in ENDED_CONDITIONS:
                return earlier.result()
        for _ in range(MAX_CONFIRMING_CHECKS):
            if not run.is_attributed:
                self._add_broken(run)
            check = self._check(run.target)
            await wait([check])
            if check.result() is not TargetCondition.INCONCLUSIVE:
                break
        return check.result()

    def end_broken(self, run: ContentRun) -> None:
        """Record that a run broke off or fell silent, and check its target."""
        self.end(run)
        if run.is_attributed:
            return
        self._add_broken(run)
        self._check(run.target)

    async def settle(self, content_digest: str) -> None:
        """Wait until the targets at which runs of the content broke have been checked."""
        targets = [key for key, digests in self._broken.items() if content_digest in digests]
        if targets:
            await wait([self._checks[target] for target in targets])

    def is_refused(self, content: RequestContent) -> bool:
        """Return whether requests with the content must be refused."""
        return self._exchange.table.is_refused(content.digests, now_ms())

    def refusal_ms(self, content: RequestContent) -> float:
        """Return the time until the last conviction of the content expires in milliseconds."""
        table, at_ms = self._exchange.table, now_ms()
        convicted = [digest for digest in content.digests if table.is_convicted(digest, at_ms)]
        ages_ms = [table.verdict(digest, at_ms).age_ms for digest in convicted]
        return max((SUSPICION_EXPIRY_MS - age_ms for age_ms in ages_ms), default=0.0)

    async def run_once(self) -> None:
        """Check the targets of runs that have waited long, and look for restarts in the list."""
        at_ms = now_ms()
        self._record_silences(at_ms)
        self._clear_by_progress()
        self._attribute_restarts(at_ms)
        self._broken_ms = {
            digest: broken_ms
            for digest, broken_ms in self._broken_ms.items()
            if at_ms - broken_ms < SIMULTANEOUS_MS
        }
        for target, runs in list(self._runs.items()):
            silent = [run for run in runs if _is_silent(run, at_ms)]
            for run in silent:
                run.is_checked = True
            if silent:
                self._check(target)

    def _record_silences(self, at_ms: float) -> None:
        for silence in self._silence_scan.scan(self._runs, at_ms):
            self._targets.speeds.record_silence(
                silence.target, silence.is_batch, silence.silence_ms, at_ms
            )

    def dump(self) -> dict[str, object]:
        return {
            "suspects": [
                {
                    "content": verdict.content_digest,
                    "crashes": verdict.crash_count,
                    "is_convicted": verdict.is_convicted,
                }
                for verdict in self._exchange.table.export(now_ms())
            ]
        }

    async def stop(self) -> None:
        await super().stop()
        for task in self._checks.values():
            task.cancel()

    def _clear_by_progress(self) -> None:
        """Clear the parts of prompts on which an answer has been written for some time."""
        for run in [run for runs in self._runs.values() for run in runs]:
            if run.has_progress and not run.has_cleared_parts:
                run.has_cleared_parts = True
                self._clear(run.content.parts)

    def _clear(self, digests: Iterable[str]) -> None:
        unsettled = [*self._broken.values(), *(found for found, _ in self._unexplained.values())]
        for digest in digests:
            for broken in unsettled:
                broken.pop(digest, None)
            self._exchange.record_completed(digest, now_ms())

    def _add_broken(self, run: ContentRun) -> None:
        at_ms = now_ms()
        suspects = run.suspects(at_ms)
        if suspects:
            self._broken.setdefault(run.target, {}).update(suspects)
        if run.content.digest in suspects:
            self._broken_ms[run.content.digest] = at_ms

    def _check(self, target: Target) -> Task[TargetCondition]:
        """Return the check of a target that is under way; start one if there is none."""
        if target not in self._checks:
            self._checks[target] = create_task(self._attribute_crash(target))
        return self._checks[target]

    async def _attribute_crash(self, target: Target) -> TargetCondition:
        """Check a target and record its crash if it has ended; return its condition."""
        try:
            condition = await self._checker.check(target)
            broken = self._broken.get(target, {})
            is_down = condition is TargetCondition.DOWN
            if is_down or self._has_restarted(target, condition, broken):
                self._record_crash(target, broken, is_down)
                return TargetCondition.DOWN if is_down else TargetCondition.RESTARTED
            self._log.event(
                "target_alive",
                target=target.target_id,
                condition=condition.name.lower(),
                contents=",".join(sorted(broken)),
            )
            if condition in ANSWERED_CONDITIONS:
                self._add_unexplained(target, broken)
            return condition
        finally:
            self._broken.pop(target, None)
            del self._checks[target]

    def _has_restarted(
        self, target: Target, condition: TargetCondition, broken: dict[str, bool]
    ) -> bool:
        """Return whether a target that answers has lost its runs in an unplanned restart."""
        if condition is TargetCondition.RESTARTED:
            return not target.is_leaving
        return condition in ANSWERED_CONDITIONS and bool(broken) and self._has_ended(target)

    def _has_ended(self, target: Target) -> bool:
        """Return whether the list shows that this run of the target has ended unplanned."""
        is_listed = self._targets.find(target.target_id) is target
        return not is_listed and not target.is_leaving

    def _add_unexplained(self, target: Target, broken: dict[str, bool]) -> None:
        if broken:
            known, _ = self._unexplained.get(target, ({}, 0.0))
            self._unexplained[target] = (known | broken, now_ms())

    def _attribute_restarts(self, at_ms: float) -> None:
        """Attribute breaks to restarts that the list shows only now."""
        for target, (digests, broken_ms) in list(self._unexplained.items()):
            has_ended = bool(digests) and self._has_ended(target)
            if has_ended:
                self._record_crash(target, digests, is_down=False)
            if has_ended or at_ms - broken_ms > RESTART_LISTING_MS:
                del self._unexplained[target]

    def _record_crash(self, target: Target, broken: dict[str, bool], is_down: bool) -> None:
        at_ms = now_ms()
        target.mark_unreachable(at_ms)
        if target.is_leaving:
            self._log.event("target_left", target=target.target_id, broken=len(broken))
            return
        self._targets.pace.record_failure(target, at_ms, at_ms)
        digests = dict(broken)
        for run in self._runs.get(target, ()):
            suspects = {} if run.is_attributed else run.suspects(at_ms)
            run.is_attributed = run.is_attributed or bool(suspects)
            digests |= suspects
        self._metrics.count("target_crashes")
        self._log.event(
            "target_crashed",
            target=target.target_id,
            started_ms=target.entry.started_ms,
            is_down=is_down,
            contents=",".join(sorted(digests)),
        )
        if digests:
            target.crashes += 1
            crash_id = self._name_crash(target, is_down)
            weak_digests = [digest for digest, is_weak in digests.items() if is_weak]
            self._exchange.record_crash(crash_id, sorted(digests), at_ms, weak_digests)

    def _name_crash(self, target: Target, is_down: bool) -> str:
        """Return an id of the crash which all processes that see it use.

        A restart is named by the new start. While the target is down that is not known, and the
        list may still show an earlier incarnation, so the name has the time.
        """
        listed = self._targets.find(target.target_id)
        started_ms = max(target.started_ms, listed.started_ms if listed is not None else 0)
        if not is_down and started_ms > target.entry.started_ms:
            return f"{target.target_id}/before-{started_ms}"
        name = f"{target.target_id}/{target.entry.started_ms}.{target.crashes}"
        return f"{name}{CRASH_TIME_SEPARATOR}{self._clock.wall_ms()}"


def _is_silent(run: ContentRun, at_ms: float) -> bool:
    return run.is_sent and not run.is_checked and at_ms - run.last_part_ms > SILENCE_CHECK_MS
