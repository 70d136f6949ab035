"""Names that the platform specifies: headers, paths, object kinds and states."""

from ebonyshore.host.wire_names import WireNames

WIRE_NAMES = WireNames(
    request_id="Attempt-Id",
    remaining_ms="Deadline-Ms",
    expected_instance="Expect-Instance",
    not_executed="Not-Executed",
    leaving="Server-Leaving",
    rate_limit="Server-Limit",
    instance_id="Instance-Id",
    last_event_id="Last-Event-Id",
    resumed_request="Resumes",
    prompt_parts="Prompt-Prefix",
    signature="Server-Signature",
    wait_ms="Wait-Ms",
    account="Tenant",
    ready_path="/ebonyshore/readyz",
    report_path="/ebonyshore/report",
    jobs_path="/ebonyshore/lots/",
    item_bodies_path="/ebonyshore/items/",
    results_from="After",
    item_id="Id",
)

OBJECTS_PATH = "/ebonyshore/objects/"
CONFIG_KEY = "config/main"
CONFIG_KIND = "config"
TARGETS_KIND = "servers"
RETIREMENTS_KIND = "retirements"
STATE_RUNNING = "running"
STATE_COMPLETE = "complete"
