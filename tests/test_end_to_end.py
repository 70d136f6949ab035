"""End-to-end tests with real processes, the unmodified OpenAI client and the command line."""

from http.client import HTTPConnection

import pytest
from msgspec.json import decode, encode
from openai import NotFoundError, OpenAI

from ebonyshore.commands.cli import run_command
from ebonyshore.frame.result_codes import ResultCode
from ebonyshore_standins.engine_model import expected_text
from ebonyshore_standins.local_fleet import LocalFleet

CHAT_PATH = "/v1/chat/completions"


@pytest.fixture
def client(fleet: LocalFleet) -> OpenAI:
    return OpenAI(base_url=f"{fleet.entries[0].url}/v1", api_key="caller-1", max_retries=0)


def batch_line(number: int) -> bytes:
    """Return a line of a batch file, whose ``custom_id`` and prompt contain ``number``."""
    body = {
        "model": "writer",
        "messages": [{"role": "user", "content": f"plan {number}"}],
        "max_tokens": 5,
    }
    item = {"custom_id": f"c{number}", "method": "POST", "url": CHAT_PATH, "body": body}
    return encode(item)


def test_models_are_listed(client: OpenAI) -> None:
    assert {model.id for model in client.models.list()} == {"reader", "writer", "labels"}


def test_response_is_complete_and_matches_the_request(client: OpenAI) -> None:
    question = [{"role": "user", "content": "is the starter alive"}]
    answer = client.chat.completions.create(model="reader", messages=question, max_tokens=7)
    expected = expected_text("user: is the starter alive", 7)
    assert answer.choices[0].message.content == expected
    assert answer.usage.completion_tokens == 7


def test_streamed_response_is_complete(client: OpenAI) -> None:
    stream = client.completions.create(
        model="reader", prompt="photo notes", max_tokens=9, stream=True
    )
    assert "".join(event.choices[0].text for event in stream) == expected_text("photo notes", 9)


def test_request_for_an_unknown_model_is_not_run(client: OpenAI) -> None:
    with pytest.raises(NotFoundError) as refusal:
        client.completions.create(model="missing", prompt="x")
    assert refusal.value.response.headers["Ebonyshore-Execution"] == "not_run"


def test_batch_returns_the_result_of_every_item(client: OpenAI, fleet: LocalFleet) -> None:
    data = b"\n".join(batch_line(number) for number in range(40))
    upload = client.files.create(file=("plans.jsonl", data), purpose="batch")
    batch = client.batches.create(
        input_file_id=upload.id, endpoint=CHAT_PATH, completion_window="24h"
    )
    fleet.wait_until(lambda: client.batches.retrieve(batch.id).status == "completed", 30_000)
    ended = client.batches.retrieve(batch.id)
    lines = client.files.content(ended.output_file_id).content.splitlines()
    texts = {}
    for line in map(decode, lines):
        texts[line["custom_id"]] = line["response"]["body"]["choices"][0]["message"]["content"]
    assert texts == {f"c{n}": expected_text(f"user: plan {n}", 5) for n in range(40)}


def run_cli(arguments: list[str], monkeypatch, capsys) -> tuple[int, str]:
    """Run a command and return its exit status and standard output."""
    monkeypatch.setattr("sys.argv", ["ebonyshore", *arguments])
    with pytest.raises(SystemExit) as exit_info:
        run_command()
    return exit_info.value.code or 0, capsys.readouterr().out


def test_job_commands_submit_list_results_and_cancel(
    fleet: LocalFleet, tmp_path, monkeypatch, capsys
) -> None:
    path = tmp_path / "plans.jsonl"
    path.write_bytes(b"\n".join(batch_line(number) for number in range(100, 110)))
    options = ["--entry", fleet.entries[0].url, "--api-key", "caller-2"]
    submit = ["job", "submit", str(path), "--wait", "--json", "--key", "k", *options]
    status, output = run_cli(submit, monkeypatch, capsys)
    job = decode(output)
    assert (status, job["status"], job["request_counts"]["completed"]) == (0, "completed", 10)
    status, output = run_cli(["job", "results", job["id"], *options], monkeypatch, capsys)
    assert {decode(line)["custom_id"] for line in output.splitlines()} == {
        f"c{number}" for number in range(100, 110)
    }
    status, output = run_cli(["job", "cancel", job["id"], *options], monkeypatch, capsys)
    assert (status, "completed" in output) == (0, True)


def test_job_command_exits_with_the_result_code(fleet: LocalFleet, monkeypatch, capsys) -> None:
    options = ["--entry", fleet.entries[0].url]
    status, _ = run_cli(["job", "status", "batch_none", *options], monkeypatch, capsys)
    assert status == ResultCode.NOT_FOUND


def test_resubmitted_batch_is_the_same_job(client: OpenAI, fleet: LocalFleet) -> None:
    """Guards against two jobs when a client submits the same batch again through another entry."""
    other = OpenAI(base_url=f"{fleet.entries[1].url}/v1", api_key="caller-1", max_retries=0)
    ids = set()
    for sender in (client, other):
        upload = sender.files.create(file=("one.jsonl", batch_line(1)), purpose="batch")
        batch = sender.batches.create(
            input_file_id=upload.id, endpoint=CHAT_PATH, completion_window="1h"
        )
        ids.add(batch.id)
    assert len(ids) == 1


def test_request_to_a_plain_service_is_forwarded(fleet: LocalFleet) -> None:
    connection = HTTPConnection("127.0.0.1", fleet.entries[0].port, timeout=10)
    body = encode({"label": "soap-7"})
    connection.request("POST", "/services/labels/print", body, {"Ebonyshore-No-Repeat": "true"})
    response = connection.getresponse()
    assert response.status == 200
    assert decode(response.read()) == {"label": "soap-7", "path": "/print"}
    connection.close()


def test_peer_without_the_fleet_keys_cannot_reach_the_agent(fleet: LocalFleet) -> None:
    """Guards against an agent that accepts messages from any peer that can open a connection."""
    import zmq

    context = zmq.Context()
    sock = context.socket(zmq.DEALER)
    sock.linger = 0
    sock.connect(f"tcp://127.0.0.1:{fleet.targets[0].port}")
    sock.send(encode({"type": "hello"}))
    assert sock.poll(1_000) == 0
    sock.close()
    context.term()
