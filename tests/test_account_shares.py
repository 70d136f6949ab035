"""Refusal of requests of an account above its share, before anything is sent."""

import asyncio

import pytest
from msgspec.json import encode

from ebonyshore.frame.logs import EventLog
from ebonyshore.gateway.account_shares import AccountShares
from ebonyshore.link.account_quotas import FleetUse
from ebonyshore.store.platform_api import StoredObject
from ebonyshore_standins.fleet_config import account, make_config
from tests.gateway_setup import Gateway, make_route, status_of
from tests.scripted_target import ScriptedTarget, send_complete_stream


class LowDraw:
    """Lets no request through of those that exceed a share by much."""

    @staticmethod
    def random():
        return 0.99


async def ask(running, *scripts, **fields):
    """Send a request of account ``a`` while 24 requests are at each target of 8 slots."""
    targets = [ScriptedTarget(script) for script in scripts]
    gateway = Gateway(make_route())
    uses = {name: FleetUse(0.0, 0.0, count) for name, count in running.items()}
    shares = AccountShares(lambda: uses, gateway.config, EventLog(), LowDraw)
    accounts = [account("a", "key-a", RatePerS=10.0, **fields), account("b", RatePerS=10.0)]
    config = encode(make_config(1, accounts=accounts))
    gateway.config.on_changes([StoredObject("config/main", 1, config)])
    gateway.forwarder.check_share = shares.check
    given_back = []
    gateway.forwarder.on_not_run = given_back.append
    await gateway.start(*targets)
    for target in gateway.table.accepting("svc"):
        target.own_online = 24 if target.target_id == "t1" or len(scripts) == 1 else 0
    gateway.view.mean_service_time_ms = 50.0
    answer = await asyncio.wait_for(gateway.request(headers=["Authorization: Bearer key-a"]), 10)
    gateway.close()
    return answer, sum(len(target.sessions) for target in targets), len(given_back), shares.dump()


@pytest.mark.parametrize(
    "running, fields, is_refused",
    [
        ({"a": 20, "b": 4}, {}, True),
        ({"a": 4, "b": 20}, {}, False),
        ({"b": 20}, {}, False),
        ({}, {}, False),
        ({"a": 12, "b": 12}, {"Priority": 3}, True),
    ],
)
def test_account_above_its_share_is_refused_before_anything_is_sent(running, fields, is_refused):
    answer, sessions, given_back, dump = asyncio.run(ask(running, send_complete_stream, **fields))
    assert (status_of(answer), sessions) == ((503, 0) if is_refused else (200, 1))
    assert (b"Retry-After" in answer and b'"code":47' in answer) == is_refused
    assert (given_back, list(dump)) == ((1, ["a"]) if is_refused else (0, []))


def test_request_that_has_run_is_not_refused():
    async def reset(session):
        session.reset()

    running = {"a": 40, "b": 4}
    answer, sessions, *_ = asyncio.run(ask(running, send_complete_stream, reset))
    assert (status_of(answer), sessions) == (200, 2)
