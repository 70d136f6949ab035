"""Records what the attempts of a request show about their targets."""

from ebonyshore.frame.loop_time import now_ms
from ebonyshore.gateway.exchange import ExchangeEnd
from ebonyshore.gateway.forwarding_parts import ForwardingParts
from ebonyshore.host.content_run import ContentRun
from ebonyshore.host.response_reader import AttemptFailedError, NotExecutedError
from ebonyshore.host.routes import Route

UNEXPECTED_REFUSAL_WEIGHT = 0.5  # of a failure: a target refused although it had free slots


class AttemptOutcomes:
    """Records the outcomes of the attempts of one request.

    :param forwarder: the parts of the entry.
    :param route: the route of the request.
    """

    __slots__ = ("_forwarder", "_route")

    def __init__(self, forwarder: ForwardingParts, route: Route) -> None:
        self._forwarder = forwarder
        self._route = route

    def record_answer(self, run: ContentRun, end: ExchangeEnd) -> None:
        """Record what an answer that was passed on shows about its target."""
        forwarder, target = self._forwarder, run.target
        if end is not ExchangeEnd.FAILED:
            forwarder.crash_guard.end_completed(run)
        target.outcomes.record(float(end is ExchangeEnd.FAILED), now_ms())
        if end is ExchangeEnd.STREAMED:
            forwarder.view.record_service_time(now_ms() - run.started_ms)
        elif end is ExchangeEnd.PLAIN:
            self.record_answer_pace(run)
        else:
            forwarder.targets.pace.record_refusal(target, run.started_ms, now_ms())

    def record_answer_pace(self, run: ContentRun) -> None:
        """Record how long the target took to begin its answer."""
        self._forwarder.targets.pace.record_answer(
            run.target, self._route.name, run.started_ms, now_ms(), self._route.target_latency_ms
        )

    def record_refusal(self, run: ContentRun, error: NotExecutedError, had_slots: bool) -> None:
        """Record that a target has refused the request, or could not be reached.

        :param had_slots: whether the target was expected to have a free slot.
        """
        target = run.target
        pace = self._forwarder.targets.pace
        if error.is_unreachable:
            target.mark_unreachable(now_ms())
            pace.record_doubt(target, run.started_ms, now_ms())
        else:
            pace.record_refusal(target, run.started_ms, now_ms())
            target.mark_full(now_ms())
            target.outcomes.record(UNEXPECTED_REFUSAL_WEIGHT if had_slots else 0.0, now_ms())

    def record_failure(self, run: ContentRun, error: AttemptFailedError) -> None:
        """Record that an attempt broke off."""
        target = run.target
        if not target.is_leaving:
            target.outcomes.record(1.0, now_ms())
        pace = self._forwarder.targets.pace
        if error.is_idle_timeout:
            target.mark_unresponsive(now_ms())
            pace.record_failure(target, run.started_ms, now_ms())
        else:
            pace.record_refusal(target, run.started_ms, now_ms())
