"""Which targets and services a request may be sent to within the limits that targets have."""

from collections.abc import Sequence
from random import Random

from ebonyshore.frame.loop_time import now_ms
from ebonyshore.frame.metrics import Metrics
from ebonyshore.gateway.balance import TargetLoad, limit_free_slots
from ebonyshore.gateway.load_view import LoadView
from ebonyshore.host.pace import PaceAllowance
from ebonyshore.host.routes import Route
from ebonyshore.host.target import Target
from ebonyshore.host.targets import TargetTable


class TargetLimits:
    """Applies rate limits of targets, limits of those that return, and weights of services.

    :param targets: the known targets.
    :param view: the load of the targets.
    :param random: draws requests that are kept back, and services.
    """

    __slots__ = ("_metrics", "_random", "_targets", "_view")

    def __init__(
        self, targets: TargetTable, view: LoadView, metrics: Metrics, random: Random
    ) -> None:
        self._targets = targets
        self._view = view
        self._metrics = metrics
        self._random = random

    def loads_within_limits(self, targets: Sequence[Target], has_run: bool) -> list[TargetLoad]:
        """Return the loads of the targets that may be sent a request now.

        A target that names a rate limit counts as having no more free slots than requests that it
        may be sent.

        :param has_run: whether the request was sent before; then it is not kept back for others.
        """
        at_ms = now_ms()
        limits = self._targets.rate_limits
        allowed: dict[str, int | None] = {}
        for target in targets:
            draw = 0.0 if has_run else self._random.random()
            allowed[target.target_id] = limits.admit(target.incarnation, at_ms, draw)
        sendable = [target for target in targets if allowed[target.target_id] != 0]
        loads: list[TargetLoad] = []
        for target, load in zip(sendable, self._view.target_loads(sendable, at_ms), strict=True):
            limit = allowed[target.target_id]
            if limit is not None:
                is_scarce = limits.is_scarce(target.incarnation, at_ms)
                load = limit_free_slots(load, limit, is_scarce)
            loads.append(load)
        return loads

    def pace_allowances(self, loads: Sequence[TargetLoad]) -> dict[str, PaceAllowance]:
        """Return what the limits of targets that return to service allow, by target id."""
        pace, at_ms = self._targets.pace, now_ms()
        allowances: dict[str, PaceAllowance] = {}
        for load in loads:
            target = self._targets.find(load.target_id)
            in_flight = load.online + load.batch
            allowance = pace.allowance(target.incarnation, in_flight, at_ms, self._random.random)
            if allowance is not None:
                allowances[load.target_id] = allowance
        held_off = sum(allowance.requests == 0 for allowance in allowances.values())
        if held_off:
            self._metrics.count("requests_held_off", held_off)
        return allowances

    def choose_service(self, route: Route) -> str | None:
        """Return one of the route's services, chosen at random by weight.

        Services without targets or with weight 0 are not chosen; ``None`` if no service is left.
        """
        usable = [
            share
            for share in route.shares
            if share.weight > 0 and self._targets.accepting(share.service)
        ]
        if not usable:
            return None
        weights = [share.weight for share in usable]
        return self._random.choices(usable, weights)[0].service
