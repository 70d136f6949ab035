"""Crashes and restarts of real processes, as seen by the unmodified OpenAI client."""

import subprocess
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPConnection
from itertools import count
from threading import Event
from uuid import uuid4

import pytest
from msgspec.json import decode, encode
from openai import OpenAI

from ebonyshore.frame.errors import EbonyshoreError
from ebonyshore_standins.engine_model import expected_text
from ebonyshore_standins.local_fleet import EntryProcess, LocalFleet, TargetProcess

TOKENS = 120
EXIT_TIMEOUT_S = 30


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[LocalFleet]:
    with LocalFleet(tmp_path_factory.mktemp("failing")) as running:
        for domain in ("a", "b"):
            running.add_engine(("reader",), domain)
        running.add_service("labels")
        for domain in ("a", "b"):
            running.add_entry(domain)
        running.create_tier("care", ("reader", "labels"))
        yield running


def client_of(entry: EntryProcess, **options: object) -> OpenAI:
    return OpenAI(base_url=f"{entry.url}/v1", api_key="caller-1", max_retries=0, **options)


def open_stream(entry: EntryProcess, prompt: str, tokens: int = TOKENS, **options: object):
    return client_of(entry).completions.create(
        model="reader", prompt=prompt, max_tokens=tokens, stream=True, **options
    )


def read_stream(stream) -> tuple[str, set[str]]:
    texts, ids = [], set()
    for event in stream:
        texts.append(event.choices[0].text)
        ids.add(event.id)
    return "".join(texts), ids


def busy_target(fleet: LocalFleet, entry: EntryProcess) -> TargetProcess:
    """Return a target that has requests of ``entry`` in flight."""
    views = entry.admin.get("/admin/v1/targets")
    busy = [key for key, view in views.items() if view["in_flight"]]
    return next(target for target in fleet.targets if target.instance_id == busy[0])


def restart_agent(fleet: LocalFleet, target: TargetProcess) -> None:
    path = str(target.settings_path)
    target.agent = fleet._start("-m", "ebonyshore", "agent", "--settings", path)
    fleet.wait_for_port(target.port)
    fleet.wait_until(lambda: all(is_available(entry, target) for entry in fleet.entries))


def is_available(entry: EntryProcess, target: TargetProcess) -> bool:
    try:
        view = entry.admin.get("/admin/v1/targets").get(target.instance_id, {})
    except EbonyshoreError:
        return False
    return bool(view.get("incarnation")) and not view["is_leaving"] and not view["is_quiet"]


def restart_entry(fleet: LocalFleet, entry: EntryProcess) -> None:
    path = str(fleet.folder / f"{entry.instance_id}.toml")
    entry.process = fleet._start("-m", "ebonyshore", "entry", "--settings", path)
    fleet.wait_for_port(entry.port)
    fleet.wait_until(lambda: all(is_available(entry, target) for target in fleet.targets))


def stop(process: subprocess.Popen[bytes]) -> None:
    process.terminate()
    assert process.wait(EXIT_TIMEOUT_S) == 0


def test_stream_survives_a_killed_agent(fleet: LocalFleet) -> None:
    entry = fleet.entries[0]
    stream = open_stream(entry, "agent dies")
    first = next(iter(stream))
    target = busy_target(fleet, entry)
    target.agent.kill()
    text, ids = read_stream(stream)
    assert first.choices[0].text + text == expected_text("agent dies", TOKENS)
    assert ids == {first.id}
    restart_agent(fleet, target)


def test_disconnected_client_frees_the_engine(fleet: LocalFleet) -> None:
    """Guards against an engine that continues to generate for a disconnected caller."""
    entry = fleet.entries[0]
    stream = open_stream(entry, "client goes", 2_000)
    next(iter(stream))
    target = busy_target(fleet, entry)
    stream.close()

    def is_free() -> bool:
        load = entry.admin.get("/admin/v1/targets")[target.instance_id]["load"]
        return not load["online_running"]

    fleet.wait_until(is_free, 5_000)


def test_client_that_disconnects_before_the_answer_frees_the_engine(fleet: LocalFleet) -> None:
    """Guards against a disconnect that is detected only on the next write to the client."""
    entry = fleet.entries[0]
    connection = HTTPConnection("127.0.0.1", entry.port)
    body = {"model": "reader", "prompt": "not streamed", "max_tokens": 4_000}
    connection.request("POST", "/v1/completions", encode(body))
    fleet.wait_until(
        lambda: any(v["in_flight"] for v in entry.admin.get("/admin/v1/targets").values())
    )
    target = busy_target(fleet, entry)
    connection.close()
    fleet.wait_until(
        lambda: not entry.admin.get("/admin/v1/targets")[target.instance_id]["in_flight"], 5_000
    )


def test_resend_to_another_entry_gets_the_first_answer(fleet: LocalFleet) -> None:
    """Guards against a second run of a plain service's call that is resent after its entry died."""
    key = {"Idempotency-Key": uuid4().hex, "Ebonyshore-No-Repeat": "true"}
    answers = []
    for entry in fleet.entries:
        connection = HTTPConnection("127.0.0.1", entry.port, timeout=20)
        connection.request("POST", "/services/labels/print", encode({"label": "once-1"}), key)
        answers.append(decode(connection.getresponse().read()))
        connection.close()
    assert answers[0] == answers[1]
    other = {**key, "Idempotency-Key": "other"}
    connection = HTTPConnection("127.0.0.1", fleet.entries[0].port, timeout=20)
    connection.request("POST", "/services/labels/print", encode({"label": "x"}), other)
    assert connection.getresponse().status == 200
    connection.close()


def test_killed_entry_under_load_loses_no_keyed_request(fleet: LocalFleet) -> None:
    """Guards against a resend to another entry that gets no answer or a different one."""
    killed, other = fleet.entries
    # The other entry takes a key over when it has seen the killed entry's claim for this time plus
    # 1 s. The resent requests have the default deadline, which leaves time to wait for that.
    deadline = {"Ebonyshore-Deadline-Ms": "1500"}
    keys = {f"killed {n}": {"Idempotency-Key": uuid4().hex} for n in range(4)}
    streams = [
        open_stream(killed, prompt, extra_headers={**key, **deadline})
        for prompt, key in keys.items()
    ]
    for stream in streams:
        next(iter(stream))
    killed.process.kill()
    killed.process.wait()

    def resend(prompt: str) -> str:
        stream = open_stream(other, prompt, extra_headers=keys[prompt])
        return read_stream(stream)[0]

    with ThreadPoolExecutor(4) as executor:
        for _ in range(2):
            texts = list(executor.map(resend, keys))
            assert texts == [expected_text(prompt, TOKENS) for prompt in keys]
    restart_entry(fleet, killed)


def test_rolling_restart_breaks_no_request(fleet: LocalFleet) -> None:
    """Guards against a planned stop of any process that breaks a caller's request."""
    in_service = list(fleet.entries)
    is_finished = Event()
    numbers = count()

    def send_streams() -> int:
        done = 0
        while not is_finished.is_set():
            number = next(numbers)
            entry = in_service[number % len(in_service)]
            prompt = f"rolling {number}"
            text, ids = read_stream(open_stream(entry, prompt, 40))
            assert text == expected_text(prompt, 40)
            assert len(ids) == 1
            done += 1
        return done

    with ThreadPoolExecutor(4) as executor:
        senders = [executor.submit(send_streams) for _ in range(4)]
        try:
            for target in fleet.targets:
                stop(target.agent)
                restart_agent(fleet, target)
            for entry in list(fleet.entries):
                in_service.remove(entry)
                # Load balancers also remove an instance from service before it is stopped.
                fleet.clock.sleep_ms(300)
                stop(entry.process)
                restart_entry(fleet, entry)
                in_service.append(entry)
        finally:
            is_finished.set()
        assert sum(sender.result() for sender in senders) > 10
