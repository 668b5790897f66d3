"""Tests of what may add to a stream that a caller has begun to receive."""

from collections.abc import Iterator
import contextlib
import subprocess
import sys

import anyio
import anyio.to_thread
import httpx
import pytest

from figstream_platform import standin_answers
from figstream_platform import standin_worker
from tests import gateway_front

_Fault = standin_worker.Fault
_Worker = standin_worker.Worker
_WRONG = standin_answers.RESUMED_ANSWERS
# The first worker's stream breaks off after two of its events.
_EVENTS = 3
_EVENT_HEADERS = ((b"content-type", b"text/event-stream"),)
_BEGUN = 2


# A server that sends the head of an answer without a length and a whole event,
# then waits until it is killed.
_SERVER = """
import socket, sys, time
listener = socket.create_server(("127.0.0.1", 0))
print(listener.getsockname()[1], flush=True)
connection, _ = listener.accept()
head = connection.recv(65536).decode()
name = "x-request-id: "
lines = [x for x in head.split("\\r\\n") if x.lower().startswith(name)]
lines += ["x-server-signature: s", "content-type: " + sys.argv[1]]
answer = "HTTP/1.1 200 OK\\r\\n" + "\\r\\n".join(lines) + "\\r\\n\\r\\n"
connection.sendall(answer.encode() + b"id: 1\\ndata: i-1\\n\\n")
print("sent", flush=True)
time.sleep(60)
"""


@contextlib.contextmanager
def _server_process(
    content_type: str,
) -> Iterator[tuple[subprocess.Popen[str], standin_worker.Worker]]:
    """Runs a server of `_SERVER`; yields it and how it is registered."""
    command = [sys.executable, "-c", _SERVER, content_type]
    with subprocess.Popen(
        command, stdout=subprocess.PIPE, text=True
    ) as process:
        assert process.stdout
        port = int(process.stdout.readline())
        try:
            yield process, _Worker("i-1", port=port)
        finally:
            process.kill()


async def _replace_and_kill(
    front: gateway_front.Front,
    process: subprocess.Popen[str],
    workers: list[standin_worker.Worker],
) -> None:
    """Registers other servers, then kills one that has begun to answer."""
    assert process.stdout
    await anyio.to_thread.run_sync(process.stdout.readline)
    # Until the daemon has read what was sent.
    await anyio.sleep(0.1)
    gateway_front.set_workers(front.context, workers, version=9)
    process.kill()


def _workers(
    count: int, *wrong: standin_answers.ResumedAnswer
) -> list[standin_worker.Worker]:
    """Returns workers that share their faults: the first stream breaks off.

    Those asked for the rest of the stream give the wrong answers first.
    """
    faults = [_Fault.CUT]
    answers = list(wrong)
    return [
        _Worker(
            f"i-{number}",
            events=_EVENTS,
            pause_s=0.02,
            faults=faults,
            resumed_answers=answers,
        )
        for number in range(count)
    ]


async def _receive(
    front: gateway_front.Front, route: str = "rewrite"
) -> tuple[int, str, bool]:
    """Returns status and body of a stream, and whether it was complete."""
    body = b""
    headers = front.headers("r1", accept="text/event-stream")
    url = f"{front.url}/{route}/x"
    async with front.client.stream("POST", url, headers=headers) as answer:
        try:
            async for chunk in answer.aiter_raw():
                body += chunk
        except httpx.RemoteProtocolError:
            return answer.status_code, body.decode(), False
    return answer.status_code, body.decode(), True


def _ids(body: str) -> list[str]:
    assert body.endswith("\n\n")
    return [event.split("\n")[0] for event in body.split("\n\n")[:-1]]


@pytest.mark.anyio
@pytest.mark.parametrize("kind", _WRONG)
async def test_no_wrong_answer_adds_to_a_begun_stream(kind: str) -> None:
    """Fails if an answer to the rest of a stream ends it as complete."""
    wrong = _WRONG[kind]
    async with gateway_front.front(*_workers(2, wrong)) as front:
        status, body, complete = await _receive(front)
        assert status == 200
        assert _ids(body) == [f"id: {x + 1}" for x in range(_BEGUN)]
        assert not complete


@pytest.mark.anyio
@pytest.mark.parametrize("kind", _WRONG)
async def test_a_stream_goes_on_at_a_third_server(kind: str) -> None:
    """Fails if a wrong answer to the rest of a stream isn't retried."""
    wrong = _WRONG[kind]
    async with gateway_front.front(*_workers(3, wrong)) as front:
        _allow_attempts(front, 3)
        status, body, complete = await _receive(front)
        assert (status, complete) == (200, True)
        assert _ids(body) == [f"id: {x + 1}" for x in range(_EVENTS)]
        asked = [run.headers["x-expect-instance"] for run in front.runs]
        assert len(set(asked)) == len(asked) == 3


@pytest.mark.anyio
async def test_a_caller_gets_the_error_answer_to_a_stream_it_takes_up() -> None:
    """Fails if errors are hidden from a caller that has no answer yet."""
    worker = _Worker(resumed_answers=[_WRONG["not found"]])
    async with gateway_front.front(worker) as front:
        await _begin(front, "r0")
        answer = await front.send_request(
            "rewrite", last_event_id="2", resumes="r0"
        )
        assert answer.status_code == 404
        assert answer.headers["x-server-signature"] == "signed by i-1"


@pytest.mark.anyio
async def test_events_are_never_added_to_an_error_answer() -> None:
    """Fails if an error answer that broke off goes on as a stream."""
    broken = standin_answers.ResumedAnswer(
        404,
        (*_EVENT_HEADERS, (b"content-length", b"99")),
        "id: {next}\ndata: no such stream\n\n",
        framed=False,
    )
    answers: list[standin_answers.ResumedAnswer] = []
    workers = [_Worker(x, resumed_answers=answers) for x in ("i-1", "i-2")]
    async with gateway_front.front(*workers) as front:
        await _begin(front, "r0")
        answers.append(broken)
        answer = await front.send_request(
            "rewrite", last_event_id="2", resumes="r0"
        )
        assert answer.status_code == 200
        assert _ids(answer.text) == ["id: 3"]


@pytest.mark.anyio
@pytest.mark.parametrize(
    "kind", ["events from the first on", "last event once more"]
)
async def test_a_caller_gets_no_event_again_of_a_stream_it_takes_up(
    kind: str,
) -> None:
    """Fails if only streams that a daemon itself resumes are checked."""
    answers: list[standin_answers.ResumedAnswer] = []
    workers = [_Worker(x, resumed_answers=answers) for x in ("i-1", "i-2")]
    async with gateway_front.front(*workers) as front:
        await _begin(front, "r0")
        answers.append(_WRONG[kind])
        answer = await front.send_request(
            "rewrite", last_event_id="2", resumes="r0"
        )
        assert answer.status_code == 200
        assert _ids(answer.text) == ["id: 3"]


@pytest.mark.anyio
async def test_a_stream_without_ids_is_not_begun_anew() -> None:
    """Fails if a stream is resumed after an event that has no id."""
    workers = _workers(2)
    for worker in workers:
        worker.event_ids = False
    async with gateway_front.front(*workers) as front:
        status, body, complete = await _receive(front)
        assert (status, complete) == (200, False)
        assert body.count("data: ") == _BEGUN
        assert len(front.runs) == 1


@pytest.mark.anyio
async def test_events_may_rise_by_more_than_one_and_have_comments() -> None:
    """Fails if a sound rest of a stream counts as repeated events."""
    rest = "id: 9\ndata: x\n\n: comment\n\nx-weight-versions: 2\nid: 10\n\n"
    sound = standin_answers.ResumedAnswer(200, _EVENT_HEADERS, rest)
    async with gateway_front.front(*_workers(2, sound)) as front:
        status, body, complete = await _receive(front)
        assert (status, complete) == (200, True)
        assert body.endswith(rest)


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("route", "events", "complete"),
    [("rewrite", _EVENTS, True), ("caption", 1, False)],
)
async def test_a_stream_of_a_killed_server_is_not_complete(
    route: str, events: int, *, complete: bool
) -> None:
    """Fails if the end of a process passes for that of its stream."""
    other = _Worker("i-2", events=_EVENTS)
    with _server_process("text/event-stream") as (process, killed):
        async with gateway_front.front(other) as front:
            gateway_front.set_workers(front.context, [killed], version=8)
            async with anyio.create_task_group() as group:
                group.start_soon(
                    _replace_and_kill, front, process, [killed, other]
                )
                status, body, ended = await _receive(front, route)
        assert (status, ended) == (200, complete)
        assert _ids(body) == [f"id: {x + 1}" for x in range(events)]


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("route", "expected"), [("order", 502), ("status", 200)]
)
async def test_an_answer_of_a_killed_server_is_not_complete(
    route: str, expected: int
) -> None:
    """Fails if the end of a process passes for that of its answer."""
    other = _Worker("i-2")
    with _server_process("text/plain") as (process, killed):
        async with gateway_front.front(other) as front:
            gateway_front.set_workers(front.context, [killed], version=8)
            async with anyio.create_task_group() as group:
                group.start_soon(
                    _replace_and_kill, front, process, [killed, other]
                )
                answer = await front.send_request(route)
            assert answer.status_code == expected
            if expected == 200:
                assert answer.text == "answer i-2"


async def _begin(front: gateway_front.Front, request_id: str) -> None:
    """Lets the daemon learn the software version of a stream."""
    servers = [gateway_front.server_of(item, "llm") for item in front.workers]
    front.serving.streams.update_servers(servers)
    await front.send_request("rewrite", request_id)


def _allow_attempts(front: gateway_front.Front, limit: int) -> None:
    routes = gateway_front.manifest_value()["routes"]
    allowed = [{**route, "maxAttempts": limit} for route in routes]
    gateway_front.set_workers(
        front.context, front.workers, version=8, routes=allowed
    )
