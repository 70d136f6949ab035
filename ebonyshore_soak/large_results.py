"""Check after the faults: results of multi-byte text that end while the store is down."""

from ebonyshore.frame.clock import Clock
from ebonyshore_soak.checker import GuaranteeChecker
from ebonyshore_soak.clients import SoakClients
from ebonyshore_standins.fleet_client import read_job, submit_job
from ebonyshore_standins.platform_fleet import PlatformFleet, wait_until
from ebonyshore_standins.stream_target import TEXT_HEADER, expected_data

JOB_ID = "large"
ITEMS = 24
EVENTS = 20
TEXT_LENGTH = 1_500  # characters of three bytes an event, together some 2 MB
DOWN_MS = 3_000.0
FINISH_S = 15.0


def check_large_results(
    fleet: PlatformFleet, clients: SoakClients, checker: GuaranteeChecker, clock: Clock
) -> None:
    """Check that results are listed which have waited for the store, more than it takes at once."""
    entry = fleet.entries[0]
    headers = {TEXT_HEADER: str(TEXT_LENGTH)}
    status = clients.call_or_none(
        lambda: submit_job(entry, JOB_ID, ITEMS, EVENTS, extra_headers=headers)
    )
    if status != 202:
        checker.report_violation(f"job {JOB_ID} was answered {status} without a fault")
        return
    fleet.platform.fault_hook = lambda _method, _path: 503
    clock.sleep_ms(DOWN_MS)
    fleet.platform.fault_hook = lambda _method, _path: None
    listed: dict[str, tuple[str, str]] = {}

    def has_all() -> bool:
        response = clients.call_or_none(lambda: read_job(entry, JOB_ID, len(listed)))
        if response is not None and response[0] == 200:
            listed.update({r["Id"]: (r["State"], r["Data"]) for r in response[1]["Results"]})
        return len(listed) == ITEMS

    try:
        wait_until(has_all, FINISH_S)
    except TimeoutError:
        checker.report_violation(f"job {JOB_ID}: {len(listed)} of {ITEMS} items are listed")
    for item_id, result in listed.items():
        if result != ("complete", expected_data(item_id, EVENTS, TEXT_LENGTH)):
            checker.report_violation(f"item {item_id}: {result[0]}, {len(result[1])} characters")
    checker.counts["large_listed"] = len(listed)
    checker.counts["writes_too_large"] = fleet.platform.state.too_large
