"""A server announces that it leaves and is gone two seconds later, before its runs have ended."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common2"))

from harness import CaseError, Record, is_trouble, run_case, set_heartbeat
from streams import CAPTION_PREFIX, Client, Servers, caption_route, check_items, check_streams

from ebonyshore_standins.fleet_client import submit_job
from ebonyshore_standins.fleet_config import STREAM_PREFIX, make_config
from ebonyshore_standins.platform_fleet import PlatformFleet

ENTRIES, RUNNERS, SERVERS = 4, 2, 7
EVENTS, EVENT_MS = 36, 100.0
REQUESTS = 18
JOB, ITEMS, ITEM_EVENTS = "j1", 28, 48
GONE_S = 2.2  # after the notice; DrainMs is 2,000


def case(record: Record, folder: Path) -> bool:
    servers = Servers(folder, SERVERS, EVENT_MS)
    fleet = PlatformFleet(folder, ENTRIES, RUNNERS, targets=0)
    try:
        set_heartbeat(folder)
        fleet.start(servers.start())
        servers.register(fleet.platform.state)
        fleet.platform.state.put("config", "main", make_config(2, caption_route()))
        time.sleep(1.5)
        return play(record, fleet, servers)
    finally:
        servers.kill(record)
        fleet.stop()


def play(record, fleet, servers) -> bool:
    status = submit_job(fleet.entries[1], JOB, ITEMS, ITEM_EVENTS)
    record.write(f"{JOB}: {ITEMS} items, {ITEM_EVENTS} events each, answered {status}")
    if status != 202:
        raise CaseError("the job was not accepted")
    time.sleep(0.6)
    prefixes = (CAPTION_PREFIX, STREAM_PREFIX)
    clients = [
        Client(fleet.entries[n % ENTRIES], f"c{n:02}", prefixes[n % 2], EVENTS, record)
        for n in range(REQUESTS)
    ]
    for client in clients:
        client.start()
        time.sleep(0.01)
    time.sleep(0.4)
    victim = servers.busiest(record)
    if is_trouble():
        leave(record, servers, victim)
    for client in clients:
        client.join()
    broken = check_streams(record, clients)
    return not broken + check_items(record, fleet, JOB, ITEMS, ITEM_EVENTS)


def leave(record, servers, victim: int) -> None:
    server = servers.servers[victim]
    servers.announce_leaving(victim)
    record.write(f"{server.server_id} reports that it leaves")
    time.sleep(GONE_S)
    server.kill()
    record.write(f"{server.server_id} is gone")


run_case(__file__, case)
