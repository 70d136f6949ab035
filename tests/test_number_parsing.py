"""Malformed numbers in headers, query fields and event ids."""

import asyncio

import pytest

from ebonyshore.gateway.relay_state import RelayState
from ebonyshore.host.event_stream import StreamOrderError, parse_event
from ebonyshore.http.numbers import MAX_DIGITS, parse_decimal, parse_non_negative
from tests.gateway_setup import Gateway, make_route, status_of
from tests.scripted_target import ScriptedTarget, send_complete_stream

MALFORMED = ("", "\u00b2", "\u0663", "1.5", "-1", "1e3", "x", "9" * (MAX_DIGITS + 1))


@pytest.mark.parametrize("text", MALFORMED)
def test_only_ascii_digits_are_a_decimal(text):
    assert parse_decimal(text) is None


@pytest.mark.parametrize("text", ["nan", "inf", "-0.1", "", None, "x"])
def test_only_finite_numbers_are_durations(text):
    assert parse_non_negative(text) is None


def test_valid_numbers_are_parsed():
    assert parse_decimal("0012") == 12 and parse_non_negative("0.6") == 0.6


@pytest.mark.parametrize("event_id", MALFORMED)
def test_an_event_with_a_malformed_id_is_an_error_of_the_stream(event_id):
    with pytest.raises(StreamOrderError):
        parse_event(f"id: {event_id}\ndata: x\n\n".encode())


def test_a_malformed_last_event_id_is_ignored():
    assert RelayState("\u00b2").last_id is None


@pytest.mark.parametrize("deadline", ["nan", "inf", "-5", "soon"])
def test_a_request_with_a_malformed_deadline_gets_the_time_limit_of_its_route(deadline):
    """Guards against requests that fail with an internal error."""

    async def forward():
        gateway = Gateway(make_route())
        await gateway.start(ScriptedTarget(send_complete_stream))
        answer = await gateway.request(deadline=deadline)
        gateway.close()
        return answer, gateway.failures

    answer, failures = asyncio.run(asyncio.wait_for(forward(), 20))
    assert status_of(answer) == 200 and failures == []
