"""The entry's part in crash suspicion: passes news between agents and screens dispatches."""

from collections.abc import Callable, Iterable
from threading import Lock

from msgspec.structs import replace
from returns.result import Failure, Result, Success

from ebonyshore.entry.agent_link import AgentLink
from ebonyshore.entry.suspicion import SuspicionTable
from ebonyshore.frame.clock import Clock
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.link.messages import CrashReport, Dispatch, VerdictShare, Welcome


class SuspicionRelay:
    """Suspicion as one entry applies it; safe to use from any thread.

    :param send: sends a message to one agent.
    :param send_all: sends a message to every connected agent.
    :param expiry_ms: returns the expiry in force.
    """

    def __init__(
        self,
        send: Callable[[str, VerdictShare], None],
        send_all: Callable[[CrashReport | VerdictShare], None],
        expiry_ms: Callable[[], float],
        clock: Clock,
    ) -> None:
        self._send = send
        self._send_all = send_all
        self._expiry_ms = expiry_ms
        self._clock = clock
        self._lock = Lock()
        self._table = SuspicionTable(expiry_ms())

    def attach(self, link: AgentLink) -> None:
        """Take the news of a link and screen its dispatches; call before the link starts."""
        link.set_dispatch_filter(self.screen_dispatch, self.report_lost_agent)
        link.subscribe(CrashReport, self.handle_crash_report)
        link.subscribe(VerdictShare, self.handle_verdicts)
        link.subscribe(Welcome, self.handle_welcome)

    def handle_crash_report(self, target_id: str, report: CrashReport) -> None:
        """Take an agent's crash report and pass it on if it is new."""
        with self._lock:
            is_new = self._current().record_crash(report, self._clock.monotonic_ms())
        if is_new:
            self._send_all(report)

    def handle_verdicts(self, target_id: str, share: VerdictShare) -> None:
        """Take an agent's verdicts and pass them on if they are news."""
        with self._lock:
            is_news = self._current().merge(share.verdicts, self._clock.monotonic_ms())
        if is_news:
            self._send_all(share)

    def handle_welcome(self, target_id: str, message: Welcome) -> None:
        """Send all verdicts to an agent that has just connected."""
        with self._lock:
            verdicts = self._current().export(self._clock.monotonic_ms())
        if verdicts:
            self._send(target_id, VerdictShare(verdicts))

    def report_lost_agent(
        self, target_id: str, incarnation: str, dispatches: Iterable[Dispatch]
    ) -> None:
        """Report what was in flight with an agent that is gone.

        All entries give the same id to one loss, so it counts once. No entry knows all that was in
        flight, so the report names no suspects and convicts nobody by itself.
        """
        digests = tuple(sorted({dispatch.content_digest for dispatch in dispatches}))
        if digests:
            crash_id = f"{target_id}/{incarnation}"
            self.handle_crash_report(target_id, CrashReport(crash_id, target_id, digests))

    def screen_dispatch(self, dispatch: Dispatch) -> Result[Dispatch, ResultCode]:
        """Return the dispatch, marked if its content is suspect, or why it must not be sent."""
        now_ms = self._clock.monotonic_ms()
        with self._lock:
            table = self._current()
            if table.is_convicted(dispatch.content_digest, now_ms):
                return Failure(ResultCode.CONVICTED)
            is_suspect = table.is_suspect(dispatch.content_digest, now_ms)
        if is_suspect and not dispatch.is_suspect:
            return Success(replace(dispatch, is_suspect=True))
        return Success(dispatch)

    def dump(self) -> list[dict[str, object]]:
        """Return all verdicts for the state dump."""
        with self._lock:
            verdicts = self._current().export(self._clock.monotonic_ms())
        return [
            {"digest": v.content_digest, "crashes": v.crash_count, "is_convicted": v.is_convicted}
            for v in verdicts
        ]

    def _current(self) -> SuspicionTable:
        self._table.expiry_ms = self._expiry_ms()
        return self._table
