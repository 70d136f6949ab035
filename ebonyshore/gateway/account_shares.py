"""Applies fair shares of the slots to an entry's online requests."""

from collections.abc import Callable, Sequence
from random import Random

from msgspec import Struct

from ebonyshore.frame.async_kernel import AsyncService
from ebonyshore.frame.clock import MS_PER_S
from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.loop_time import now_ms
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.gateway.balance import TargetLoad
from ebonyshore.gateway.fair_share import (
    AccountNeed,
    Room,
    ShareExcess,
    account_weight,
    expected_room,
    find_excess,
    return_delay_ms,
)
from ebonyshore.host.accounts import Account
from ebonyshore.host.config_service import ConfigService
from ebonyshore.host.error_responses import ErrorResponse, not_executed_response
from ebonyshore.host.routes import Route, RouteTable
from ebonyshore.link.account_quotas import FleetUse

NEEDS_VALID_MS = 20.0  # within which they hardly change; a large fleet has thousands of accounts


class Placement(Struct, frozen=True):
    """A request that has not run, and the target chosen for it.

    :param chosen: load of the target.
    :param loads: loads of all targets that the request could have used.
    :param service_time_ms: mean time for which a request occupies a slot.
    :param remaining_ms: time that the caller has left for an answer.
    """

    request_id: str | None
    route: Route
    chosen: TargetLoad
    loads: Sequence[TargetLoad]
    service_time_ms: float
    remaining_ms: float


class ShareExceededError(Exception):
    """A request is refused because its account uses more than its share of too few slots.

    :ivar response: the response to the request.
    """

    def __init__(self, response: ErrorResponse) -> None:
        super().__init__(response.code.name.lower())
        self.response = response


class AccountShares(AsyncService):
    """Refuses requests of accounts that exceed their share while requests have to wait.

    Without accounts in the configuration, and while this entry does not know what the others run,
    nothing is refused.

    :param fleet_uses: returns what all entries use of the accounts that run several requests.
    """

    name = "account_shares"

    def __init__(
        self,
        fleet_uses: Callable[[], dict[str, FleetUse]],
        config: ConfigService,
        log: EventLog,
        random: Random,
    ) -> None:
        self._fleet_uses = fleet_uses
        self._log = log
        self._random = random
        self._accounts: dict[str, Account] = {}
        self._mean_rate_per_s = 0.0
        self._needs: dict[str, AccountNeed] = {}
        self._needs_priority = 0  # of the route for which they were found
        self._needs_ms = float("-inf")
        self._last_excess: dict[str, ShareExcess] = {}  # by account, of the last refusal
        config.change_listeners.append(self._apply)

    async def start(self) -> None:
        """Nothing runs in the background."""

    def check(self, account: Account, placement: Placement) -> None:
        """Check that a request may be sent to the target chosen for it.

        :raises ShareExceededError: if it may not.
        """
        if placement.chosen.free_slots_for_online > 0:
            return
        needs = self._current_needs(placement)
        if account.name not in needs:
            return
        room = expected_room(placement.chosen, placement.loads, placement.service_time_ms)
        excess = find_excess(room, account.name, needs, placement.route.target_latency_ms)
        if excess is None or self._random.random() < excess.admitted_part:
            return
        self._last_excess[account.name] = excess
        delay_ms = return_delay_ms(excess, placement.remaining_ms, self._random.random())
        self._log_refusal(account, placement, room, needs[account.name], excess, delay_ms)
        raise ShareExceededError(not_executed_response(ResultCode.SHARE_EXCEEDED, delay_ms))

    def dump(self) -> dict[str, object]:
        return {
            account: {"share_slots": excess.share_slots, "admitted_part": excess.admitted_part}
            for account, excess in self._last_excess.items()
        }

    def _current_needs(self, placement: Placement) -> dict[str, AccountNeed]:
        at_ms = now_ms()
        priority = placement.route.priority
        if at_ms - self._needs_ms > NEEDS_VALID_MS or priority != self._needs_priority:
            self._needs = self._find_needs(placement)
            self._needs_priority = priority
            self._needs_ms = at_ms
        return self._needs

    def _find_needs(self, placement: Placement) -> dict[str, AccountNeed]:
        return {
            name: self._need(self._accounts[name], use, placement)
            for name, use in self._fleet_uses().items()
            if name in self._accounts
        }

    def _need(self, account: Account, use: FleetUse, placement: Placement) -> AccountNeed:
        priority = placement.route.priority if account.priority is None else account.priority
        weight = account_weight(account.rate_per_s, self._mean_rate_per_s, priority)
        wanted_per_s = use.wanted_per_s
        if account.rate_per_s > 0.0:
            wanted_per_s = min(wanted_per_s, max(account.rate_per_s, use.admitted_per_s))
        wanted_slots = wanted_per_s * placement.service_time_ms / MS_PER_S
        return AccountNeed(weight, use.running, wanted_slots)

    def _apply(self, table: RouteTable) -> None:
        self._accounts = {account.name: account for account in table.config.accounts or ()}
        rates = [account.rate_per_s for account in self._accounts.values() if account.rate_per_s]
        self._mean_rate_per_s = sum(rates) / len(rates) if rates else 0.0
        self._needs_ms = float("-inf")
        self._last_excess = {
            name: excess for name, excess in self._last_excess.items() if name in self._accounts
        }

    def _log_refusal(
        self,
        account: Account,
        placement: Placement,
        room: Room,
        need: AccountNeed,
        excess: ShareExcess,
        delay_ms: float,
    ) -> None:
        self._log.event(
            "request_above_share",
            request=placement.request_id,
            caller=account.name,
            running=need.running,
            wanted_slots=need.wanted_slots,
            share_slots=excess.share_slots,
            target=placement.chosen.target_id,
            queued=-placement.chosen.free_slots_for_online,
            wait_ms=room.wait_ms,
            online=room.online,
            slots=room.slots,
            retry_after_ms=delay_ms,
        )
