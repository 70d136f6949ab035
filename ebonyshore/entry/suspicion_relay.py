"""Crash suspicion at an entry: relays reports and verdicts between agents, screens dispatches."""

from collections.abc import Callable, Iterable
from threading import Lock

from msgspec.structs import replace
from returns.result import Failure, Result, Success

from ebonyshore.entry.agent_link import AgentLink
from ebonyshore.frame.clock import Clock
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.link.messages import CrashReport, Dispatch, VerdictShare, Welcome
from ebonyshore.link.suspicion import ISOLATED_CONVICTION_CRASHES, SuspicionTable


class SuspicionRelay:
    """Maintains the suspicion table of one entry; thread-safe.

    :param send: sends a message to the agent of a target, given its id.
    :param send_all: sends a message to every connected agent.
    :param expiry_ms: returns the time after its last crash at which a content is forgotten, from
        the settings in force.
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
        self._table = SuspicionTable(expiry_ms(), ISOLATED_CONVICTION_CRASHES)

    def attach(self, link: AgentLink) -> None:
        """Subscribe to a link's messages and screen its dispatches; call before the link starts."""
        link.set_dispatch_filter(self.screen_dispatch, self.report_lost_agent)
        link.subscribe(CrashReport, self.handle_crash_report)
        link.subscribe(VerdictShare, self.handle_verdicts)
        link.subscribe(Welcome, self.handle_welcome)

    def handle_crash_report(self, target_id: str, report: CrashReport) -> None:
        """Record a crash report and, if it is new, send it to all connected agents."""
        with self._lock:
            is_new = self._updated_table().record_crash(report, self._clock.monotonic_ms())
        if is_new:
            self._send_all(report)

    def handle_verdicts(self, target_id: str, share: VerdictShare) -> None:
        """Merge an agent's verdicts and, if they change any, send them to all connected agents."""
        with self._lock:
            has_changed = self._updated_table().merge(share.verdicts, self._clock.monotonic_ms())
        if has_changed:
            self._send_all(share)

    def handle_welcome(self, target_id: str, message: Welcome) -> None:
        """Send all current verdicts to an agent that has just connected."""
        with self._lock:
            verdicts = self._updated_table().export(self._clock.monotonic_ms())
        if verdicts:
            self._send(target_id, VerdictShare(verdicts))

    def report_lost_agent(
        self, target_id: str, incarnation: str, dispatches: Iterable[Dispatch]
    ) -> None:
        """Report the content that was in flight at an agent that was lost.

        All entries derive the same crash id for the loss, so it counts as one crash. No entry knows
        everything that was in flight, so the report names no suspects and cannot by itself convict
        a sole suspect.

        :param incarnation: the run of the agent that was lost.
        :param dispatches: those of this entry that may have been running there.
        """
        digests = tuple(sorted({dispatch.content_digest for dispatch in dispatches}))
        if digests:
            crash_id = f"{target_id}/{incarnation}"
            self.handle_crash_report(target_id, CrashReport(crash_id, target_id, digests))

    def screen_dispatch(self, dispatch: Dispatch) -> Result[Dispatch, ResultCode]:
        """Check a dispatch before it is sent.

        :return: the dispatch, marked as suspect if its content is; or a failure with the code
            ``CONVICTED`` if it must not be sent.
        """
        now_ms = self._clock.monotonic_ms()
        with self._lock:
            table = self._updated_table()
            if table.is_convicted(dispatch.content_digest, now_ms):
                return Failure(ResultCode.CONVICTED)
            is_suspect = table.is_suspect(dispatch.content_digest, now_ms)
        if is_suspect and not dispatch.is_suspect:
            return Success(replace(dispatch, is_suspect=True))
        return Success(dispatch)

    def dump(self) -> list[dict[str, object]]:
        """Return the current verdicts for the state dump."""
        with self._lock:
            verdicts = self._updated_table().export(self._clock.monotonic_ms())
        return [
            {"digest": v.content_digest, "crashes": v.crash_count, "is_convicted": v.is_convicted}
            for v in verdicts
        ]

    def _updated_table(self) -> SuspicionTable:
        """Return the table with the expiry in force; the lock must be held."""
        self._table.expiry_ms = self._expiry_ms()
        return self._table
