"""Callers' keys: who is admitted, and what targets and runners are told."""

import asyncio

import pytest
from msgspec.json import encode

from ebonyshore.frame.logs import EventLog
from ebonyshore.frame.metrics import Metrics
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore.gateway.authentication import AccessDeniedError, Authenticator
from ebonyshore.gateway.front_server import FrontServer
from ebonyshore.host.accounts import Account, digest_key
from ebonyshore.host.config_service import ConfigService
from ebonyshore.host.host_settings import ListenAddress
from ebonyshore.host.key_ring import KeyRing
from ebonyshore.http.headers import Headers
from ebonyshore.http.messages import Request
from ebonyshore.link.job_call import JobCall, JobCallKind, decode_job_call
from ebonyshore.platform.config_object import decode_config
from ebonyshore.platform.wire_names import WIRE_NAMES
from ebonyshore.store.platform_api import StoredObject
from ebonyshore_standins.fleet_config import BATCH_PREFIX, ROUTE_HOST, account, make_config, route
from tests.gateway_setup import Gateway, make_route, status_of
from tests.scripted_target import ScriptedTarget, send_complete_stream

KEY = "key-a"
ACCOUNTS = (
    Account("a", frozenset([digest_key(KEY), digest_key("schlüssel"), digest_key("là")])),
    Account("b"),
)


@pytest.mark.parametrize(
    "values, expected",
    [
        (["Bearer key-a"], "a"),
        (["bEARER   key-a "], "a"),
        (["Bearer schlüssel".encode().decode("latin-1")], "a"),
        ([], None),
        (["Bearer"], None),
        (["Bearer "], None),
        (["Bearer key-b"], None),
        (["Bearer KEY-A"], None),
        (["Basic key-a"], None),
        (["key-a"], None),
        (["Bearer key-a", "Bearer key-a"], None),
        (["Bearer key-a, Bearer key-a"], None),
        (["Bearer \xff\xfe"], None),
        (["Bearer là".encode().decode("latin-1")], "a"),
    ],
)
def test_account_of_a_request(values, expected):
    headers = Headers([("aUTHORIZATION", value) for value in values])
    found = KeyRing(ACCOUNTS).find(headers)
    assert (found.name if found else None) == expected


def put_accounts(config, version, *accounts):
    value = encode(make_config(version, accounts=accounts))
    config.on_changes([StoredObject("config/main", version, value)])


async def forward(headers, route=None):
    target = ScriptedTarget(send_complete_stream)
    gateway = Gateway(route or make_route())
    put_accounts(gateway.config, 1, account("a", KEY))
    await gateway.start(target)
    answer = await asyncio.wait_for(gateway.request(headers=headers), 10)
    gateway.close()
    return answer, target.sessions


SPOOFED = ["Tenant: b", "tENANT: b", "TENANT:b"]


@pytest.mark.parametrize("name", ["Authorization", "authorization", "AUTHORIZATION"])
@pytest.mark.parametrize("extra", [[], SPOOFED, [*SPOOFED, "Connection: tenant, x"]])
def test_target_is_told_the_account_and_never_the_key(name, extra):
    answer, (session,) = asyncio.run(forward([*extra, f"{name}: Bearer {KEY}"]))
    assert status_of(answer) == 200
    lines = session.head.lower().split("\r\n")
    assert [line for line in lines if line.startswith("tenant")] == ["tenant: a"]
    assert "authorization" not in session.head.lower() and KEY not in session.head


@pytest.mark.parametrize("key_line", [[], ["Authorization: Bearer unknown"]])
def test_target_of_a_public_route_is_not_told_what_the_caller_claims(key_line):
    route = make_route(is_public=True)
    answer, (session,) = asyncio.run(forward([*SPOOFED, *key_line], route))
    assert status_of(answer) == 200
    head = session.head.lower()
    assert "tenant" not in head and "authorization" not in head and "unknown" not in head


def test_headers_are_forwarded_unchanged_without_accounts():
    async def scenario():
        target, gateway = ScriptedTarget(send_complete_stream), Gateway(make_route())
        await gateway.start(target)
        await gateway.request(headers=["Tenant: b", "Authorization: Bearer x"])
        gateway.close()
        return target.sessions[0]

    session = asyncio.run(scenario())
    assert session.header("Tenant") == "b" and session.header("Authorization") == "Bearer x"


@pytest.mark.parametrize(
    "is_broken, is_key_removed, expected",
    [(False, True, 401), (True, True, 502), (False, False, 503), (True, False, 502)],
)
def test_request_does_not_go_to_another_target_without_a_valid_key(
    is_broken, is_key_removed, expected
):
    """Guards against a retry with a key that was removed, or may have been, meanwhile."""

    async def scenario():
        async def end_attempt(session):
            if is_key_removed:
                put_accounts(gateway.config, 2, account("a", "other"))
            else:
                gateway.is_config_confirmed = False
            if is_broken:
                session.reset()
            else:
                session.send_answer(503, ["Not-Executed: 1"])

        targets = ScriptedTarget(end_attempt), ScriptedTarget(end_attempt)
        gateway = Gateway(make_route())
        put_accounts(gateway.config, 1, account("a", KEY))
        await gateway.start(*targets)
        answer = await gateway.request(headers=[f"Authorization: Bearer {KEY}"])
        gateway.close()
        assert [len(target.sessions) for target in targets] == [1, 0]
        return status_of(answer)

    assert asyncio.run(asyncio.wait_for(scenario(), 10)) == expected


def test_quota_of_a_request_is_given_back_to_the_account_that_it_was_counted_for():
    """Guards against quota that grows because a key has passed to another account meanwhile."""

    async def scenario():
        async def refuse(session):
            put_accounts(gateway.config, 2, account("a", "other"), account("b", KEY))
            session.send_answer(503, ["Not-Executed: 1"])

        gateway = Gateway(make_route())
        given_back = []
        gateway.forwarder.on_not_run = lambda found: given_back.append(found.name)
        put_accounts(gateway.config, 1, account("a", KEY))
        await gateway.start(ScriptedTarget(refuse))
        await gateway.request(headers=[f"Authorization: Bearer {KEY}"])
        gateway.close()
        return given_back

    assert asyncio.run(asyncio.wait_for(scenario(), 10)) == ["a"]


class Recorder:
    """Stands in for the forwarders, the quotas and the responder of one request."""

    def __init__(self):
        self.accounts, self.statuses, self.headers = [], [], None

    async def forward(self, *arguments):
        self.accounts.append(arguments[-1] and arguments[-1].name)

    def admit(self, _account, _request_id):
        return None

    def send(self, status, headers, _body=b""):
        self.statuses.append(status)
        self.headers = headers

    def set_account(self, _account):
        pass


def serve(method, target, headers, *versions, is_confirmed=True):
    """Return the account for which a request is served, or the status with which it is refused."""
    config = ConfigService("config/main", decode_config, EventLog())
    authenticator = Authenticator(WIRE_NAMES, config, lambda: is_confirmed)
    recorder = Recorder()
    server = FrontServer(
        ListenAddress("127.0.0.1", 0),
        WIRE_NAMES,
        config,
        recorder,
        recorder,
        authenticator,
        recorder,
        EventLog(),
        Metrics(),
    )
    for number, version in enumerate(versions, 1):
        config.on_changes([StoredObject("config/main", number, encode(version))])
    request = Request(method, target, Headers([("Host", ROUTE_HOST), *headers]), b"", 0.0)
    asyncio.run(server._serve(request, recorder))
    return recorder.accounts[0] if recorder.accounts else recorder.statuses[0]


KEY_HEADER = ("Authorization", f"Bearer {KEY}")
KEYED_CALLS = [
    ("POST", "/ask/x"),
    ("POST", f"{BATCH_PREFIX}j1"),
    ("POST", "/public-plans/j1"),
    ("GET", f"{WIRE_NAMES.jobs_path}j1"),
    ("DELETE", f"{WIRE_NAMES.jobs_path}j1"),
    ("GET", f"{WIRE_NAMES.item_bodies_path}j1?Id=i"),
]
PUBLIC_ROUTES = (
    route("public", "/public/", "streaming", Public=True),
    route("public-plans", "/public-plans/", "batch", Public=True),
)
CONFIG = make_config(1, *PUBLIC_ROUTES, accounts=[account("a", KEY)])


@pytest.mark.parametrize("method, target", KEYED_CALLS)
def test_calls_that_need_a_key(method, target):
    assert serve(method, target, [KEY_HEADER], CONFIG) == "a"
    assert serve(method, target, [], CONFIG) == 401
    assert serve(method, target, [("Authorization", "Bearer x")], CONFIG) == 401
    assert serve(method, target, [KEY_HEADER], CONFIG, is_confirmed=False) == 503
    assert serve(method, target, [("Authorization", "Bearer x")], CONFIG, is_confirmed=False) == 503
    assert serve(method, target, []) == 503  # no configuration yet
    without_accounts = make_config(1, *PUBLIC_ROUTES)
    assert serve(method, target, [], without_accounts, is_confirmed=False) is None
    removed = make_config(2, *PUBLIC_ROUTES, accounts=[])
    assert serve(method, target, [KEY_HEADER], CONFIG, removed) == 401
    older = make_config(1, accounts=[account("a", KEY)])
    assert serve(method, target, [KEY_HEADER], removed, older) == 401


def test_public_routes_and_unknown_routes():
    for is_confirmed in (True, False):
        assert serve("POST", "/public/x", [], CONFIG, is_confirmed=is_confirmed) is None
        assert serve("POST", "/none/x", [], CONFIG, is_confirmed=is_confirmed) == 404
        assert serve("POST", "/none/x", [KEY_HEADER], CONFIG, is_confirmed=is_confirmed) == 404
    assert serve("POST", "/public/x", [KEY_HEADER], CONFIG) == "a"
    # Whether the key is still valid is not known, so the account is not either.
    assert serve("POST", "/public/x", [KEY_HEADER], CONFIG, is_confirmed=False) is None


def test_refusals_tell_that_the_request_did_not_run_and_when_to_retry():
    for is_confirmed, code in (
        (True, ResultCode.UNAUTHENTICATED),
        (False, ResultCode.CONFIG_UNCONFIRMED),
    ):
        config = ConfigService("config/main", decode_config, EventLog())
        authenticator = Authenticator(WIRE_NAMES, config, lambda is_ok=is_confirmed: is_ok)
        put_accounts(config, 1, account("a", KEY))
        with pytest.raises(AccessDeniedError) as denied:
            authenticator.authenticate(Headers())
        assert denied.value.response.code is code
        headers = denied.value.response.headers("Attempt-Id", "q1")
        assert (headers.get("retry-after") is None) == is_confirmed
        assert (headers.get("www-authenticate") == "Bearer") == is_confirmed


def test_job_calls_name_the_account():
    call = JobCall(JobCallKind.RESULTS, "j1", account="a & b")
    fields = call.query_fields()
    assert decode_job_call("j1", fields) == call
    assert decode_job_call("j1", {"call": "results"}).account == ""


def test_configuration_is_decoded_once_for_each_change_of_its_object():
    decoded = []

    def decode(value):
        decoded.append(value)
        return decode_config(value)

    config = ConfigService("config/main", decode, EventLog())
    first, bad = encode(make_config(1)), b"{"
    stored = [StoredObject("config/main", *pair) for pair in ((1, first), (1, first), (2, bad))]
    assert [config.apply(found) for found in stored] == [1, 1, None]
    assert decoded == [first, bad] and config.version == 1
