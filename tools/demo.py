"""Demo: runs online and batch work on a loopback tier, kills processes and audits the jobs."""

import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from msgspec.json import encode
from openai import OpenAI

from ebonyshore.frame.errors import EbonyshoreError
from ebonyshore_standins.local_fleet import EntryProcess, LocalFleet

MODELS = ("care-reader", "care-writer")
BATCH_ITEMS = 1000
ONLINE_STREAMS = 30
JOB_TIMEOUT_MS = 90_000


def main() -> int:
    """Run the demo.

    :return: the exit status: 0 if the audit found no fault and no open item.
    """
    with tempfile.TemporaryDirectory() as folder, LocalFleet(Path(folder)) as fleet:
        print("starting 3 engines with agents, 1 service with its agent, 3 entries")
        for domain in ("a", "b", "c"):
            fleet.add_engine(MODELS, domain)
        fleet.add_service("couriers")
        for domain in ("a", "b", "c"):
            fleet.add_entry(domain)
        fleet.create_tier("care", (*MODELS, "couriers"))
        job_id = submit_batch(fleet)
        print(f"job {job_id} accepted with {BATCH_ITEMS} items")
        stream_online(fleet, "before the failures")
        kill_processes(fleet)
        stream_online(fleet, "after the failures")
        wait_for_job(fleet, job_id)
        report = fleet.entries[0].admin.get("/admin/v1/audit")
        for fault in report["faults"]:
            print(f"fault: {fault}")
        print(report["line"])
        return 0 if report["is_clean"] and not report["open_items"] else 1


def make_client(entry: EntryProcess) -> OpenAI:
    """Return a standard OpenAI client for an entry."""
    return OpenAI(base_url=f"{entry.url}/v1", api_key="demo-caller", max_retries=3)


def submit_batch(fleet: LocalFleet) -> str:
    """Upload the batch file and create a batch job.

    :return: the id of the job.
    """
    lines = [
        encode(
            {
                "custom_id": f"plan-{number}",
                "method": "POST",
                "url": "/v1/chat/completions",
                "body": {
                    "model": "care-writer",
                    "messages": [{"role": "user", "content": f"care plan {number}"}],
                    "max_tokens": 8,
                },
            }
        )
        for number in range(BATCH_ITEMS)
    ]
    client = make_client(fleet.entries[0])
    upload = client.files.create(file=("plans.jsonl", b"\n".join(lines)), purpose="batch")
    batch = client.batches.create(
        input_file_id=upload.id, endpoint="/v1/chat/completions", completion_window="24h"
    )
    return batch.id


def stream_online(fleet: LocalFleet, label: str) -> None:
    """Send streaming requests to all running entries and print how many were answered in full.

    :param label: text that tells apart the requests and output of different calls.
    """

    def request(number: int) -> bool:
        client = make_client(fleet.entries[number % len(fleet.entries)])
        conversation = [{"role": "user", "content": f"question {number} {label}"}]
        answer = client.chat.completions.create(
            model="care-reader", messages=conversation, max_tokens=12, stream=True
        )
        tokens = [chunk.choices[0].delta.content for chunk in answer if chunk.choices]
        return len([token for token in tokens if token]) == 12

    with ThreadPoolExecutor(max_workers=10) as executor:
        answered = sum(executor.map(request, range(ONLINE_STREAMS)))
    print(f"online {label}: {answered} of {ONLINE_STREAMS} streams answered in full")


def kill_processes(fleet: LocalFleet) -> None:
    """Kill an agent and an entry with SIGKILL, so that they cannot shut down gracefully."""
    fleet.targets[0].agent.kill()
    fleet.entries.pop().process.kill()
    print("killed the agent of target-1 and entry-3")


def wait_for_job(fleet: LocalFleet, job_id: str) -> None:
    """Wait until the job is completed and print its progress every second.

    :raises EbonyshoreError: if the job is not completed within 90 s.
    """
    client = make_client(fleet.entries[0])

    def is_completed() -> bool:
        batch = client.batches.retrieve(job_id)
        counts = batch.request_counts
        print(f"job {batch.status}: {counts.completed} completed, {counts.failed} failed")
        fleet.clock.sleep_ms(1_000)
        return batch.status == "completed"

    fleet.wait_until(is_completed, JOB_TIMEOUT_MS)


if __name__ == "__main__":
    try:
        sys.exit(main())
    except EbonyshoreError as error:
        sys.exit(f"demo failed: {error}")
