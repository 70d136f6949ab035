"""A server crashes behind a cut and starts again; its answers end with their connections."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common2"))

from harness import CaseError, Record, is_trouble, run_case, set_heartbeat
from streams import CAPTION_PREFIX, Client, Servers, caption_route, check_items, check_streams

from ebonyshore_standins.fleet_client import submit_job
from ebonyshore_standins.fleet_config import make_config
from ebonyshore_standins.platform_fleet import PlatformFleet

ENTRIES, RUNNERS, SERVERS = 4, 2, 7
EVENTS, EVENT_MS = 35, 100.0
REQUESTS = 18
JOB, ITEMS, ITEM_EVENTS, ITEM_EVENT_MS = "j1", 28, 12, 1_000.0
BEFORE_S = 4.7  # until the items have shown their rhythm
STREAMS_S = 0.6
CRASH_S, BACK_S, HEAL_S = 0.2, 1.4, 1.6  # after the cut has begun
SPREAD_S = 0.1


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
    pace = {"Event-Pace": str(ITEM_EVENT_MS)}  # a header of these servers
    status = submit_job(fleet.entries[1], JOB, ITEMS, ITEM_EVENTS, extra_headers=pace)
    record.write(f"{JOB}: {ITEMS} items, {ITEM_EVENTS} events each, answered {status}")
    if status != 202:
        raise CaseError("the job was not accepted")
    time.sleep(BEFORE_S)
    clients = [
        Client(fleet.entries[0], f"c{n:02}", CAPTION_PREFIX, EVENTS, record)
        for n in range(REQUESTS)
    ]
    for client in clients:
        client.start()
        time.sleep(0.01)
    time.sleep(STREAMS_S)
    victim = servers.busiest(record)
    if is_trouble():
        crash_behind_cut(record, servers, victim)
    for client in clients:
        client.join()
    broken = check_streams(record, clients)
    return not broken + check_items(record, fleet, JOB, ITEMS, ITEM_EVENTS)


def crash_behind_cut(record, servers, victim: int) -> None:
    server = servers.servers[victim]
    servers.cut(victim)
    record.write(f"{server.server_id} cut off from all machines")
    time.sleep(CRASH_S)
    server.kill()
    record.write(f"{server.server_id} killed")
    time.sleep(BACK_S - CRASH_S)
    servers.restart(victim)
    record.write(f"{server.server_id} started again")
    time.sleep(HEAL_S - BACK_S)
    servers.heal(victim, SPREAD_S)
    record.write(f"the cut of {server.server_id} has ended")


run_case(__file__, case)
