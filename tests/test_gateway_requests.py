"""Tests of requests through the gateway, with and without worker faults."""

import time

import anyio
import httpx
import pytest

from figstream_platform import standin_worker
from tests import gateway_front

_Fault = standin_worker.Fault
_Worker = standin_worker.Worker


def _workers(*faults: standin_worker.Fault) -> list[standin_worker.Worker]:
    """Returns two workers that share a list of faults.

    The worker that gets the next request also gets the next fault.
    """
    shared = list(faults)
    return [_Worker("i-1", faults=shared), _Worker("i-2", faults=shared)]


@pytest.mark.anyio
@pytest.mark.parametrize("route", ["status", "order", "rewrite", "caption"])
async def test_each_kind_of_request_passes_unchanged(route: str) -> None:
    async with gateway_front.front(_Worker()) as front:
        body = b"" if route == "status" else b"\x00body"
        answer = await front.send_request(
            route, "r7", body, x_model="m", x_extra="1"
        )
        assert answer.status_code == 200
        assert answer.headers["x-request-id"] == "r7"
        assert answer.headers["x-server-signature"] == "signed by i-1"
        [run] = front.runs
        assert (run.request_id, run.target) == ("r7", f"/{route}/x?y=1")
        assert run.body == body
        assert run.headers["host"] == gateway_front.HOST
        assert run.headers["x-model"] == "m"
        assert run.headers["x-extra"] == "1"
        assert run.headers["x-tenant"] == "studio"
        assert run.headers["x-expect-instance"] == "i-1"
        assert 0 < int(run.headers["x-deadline-ms"]) <= 2000
        assert "authorization" not in run.headers
        assert front.usage.by_customer["studio"].requests == 1
        if route in {"rewrite", "caption"}:
            assert answer.text.count("id: ") == 3


@pytest.mark.anyio
async def test_headers_that_only_the_system_sets_are_not_the_callers() -> None:
    """Fails if a reserved header of a caller reaches the worker.

    The platform's adapter lists the reserved headers in `_SYSTEM_HEADERS`.
    """
    given = {
        "x-tenant": "other",
        "x-hold": "h",
        "x-pin-ms": "9",
        "x-kv-backup": "10.0.0.1:1",
        "kv-from": "10.0.0.1:1/x",
        "x-priority-class": "0",
        "x-expect-instance": "i-9",
    }
    async with gateway_front.front(_Worker()) as front:
        answer = await front.send_request("order", **given)  # type: ignore[arg-type]
        assert answer.status_code == 200
        [run] = front.runs
        shown = {name: run.headers.get(name) for name in given}
        assert shown == {
            "x-tenant": "studio",
            "x-hold": None,
            "x-pin-ms": None,
            "x-kv-backup": None,
            "kv-from": None,
            "x-priority-class": "2",
            "x-expect-instance": "i-1",
        }


@pytest.mark.anyio
async def test_a_refusal_records_the_configuration_that_decided_it() -> None:
    async with gateway_front.front(_Worker()) as front:
        await front.send_request("nowhere", "r5")
        [record] = front.context.decisions.of_request("r5")
        assert record.reason == "unknown_route"
        assert record.detail.startswith("generation=7 unconfirmed_s=")


@pytest.mark.anyio
async def test_errors_of_the_caller_are_refused() -> None:
    async with gateway_front.front(_Worker()) as front:
        unknown = await front.send_request("nowhere")
        assert unknown.status_code == 404
        wrong = await front.client.get(
            f"{front.url}/status/x",
            headers=front.headers("r1", authorization="Bearer no"),
        )
        assert wrong.status_code == 401
        long = await front.send_request("order", body=b"x" * 1_000_001)
        assert long.status_code == 413
        gateway_front.set_workers(
            front.context, front.workers, version=8, tenants=[]
        )
        gateway_front.set_workers(
            front.context,
            front.workers,
            version=9,
            tenants=[{"name": "studio", "apiKeys": ["new"]}],
        )
        withdrawn = await front.send_request("status")
        assert withdrawn.status_code == 401
        assert not front.runs


@pytest.mark.anyio
async def test_without_a_configuration_the_answer_is_503() -> None:
    async with gateway_front.front(_Worker()) as front:
        holder = front.context.holder
        holder._current = type(holder.current)()
        answer = await front.send_request("status")
        assert answer.status_code == 503
        assert float(answer.headers["retry-after"]) > 0


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("fault", "status", "runs"),
    [
        (_Fault.FAIL, 500, 1),
        (_Fault.SHED, 200, 1),
        (_Fault.MISDIRECTED, 200, 1),
        (_Fault.CROSSED, 502, 1),
        (_Fault.RESET, 502, 1),
        (_Fault.CUT, 502, 1),
        (_Fault.UNFRAMED, 200, 1),
        (_Fault.UNFRAMED_RESET, 502, 1),
    ],
)
async def test_an_unsafe_request_runs_once_whatever_its_worker_does(
    fault: standin_worker.Fault, status: int, runs: int
) -> None:
    async with gateway_front.front(*_workers(fault)) as front:
        answer = await front.send_request("order", body=b"b")
        assert answer.status_code == status
        assert len(front.runs) == runs
        if status == 500:
            # The worker's error answer is passed on with its signature.
            assert "x-server-signature" in answer.headers
        if status == 502:
            assert "x-server-signature" not in answer.headers


@pytest.mark.anyio
@pytest.mark.parametrize(
    "fault",
    [
        _Fault.FAIL,
        _Fault.SHED,
        _Fault.MISDIRECTED,
        _Fault.CROSSED,
        _Fault.RESET,
        _Fault.CUT,
        _Fault.UNFRAMED_RESET,
    ],
)
async def test_a_safe_request_is_repeated_at_another_worker(
    fault: standin_worker.Fault,
) -> None:
    async with gateway_front.front(*_workers(fault)) as front:
        answer = await front.send_request("status")
        assert answer.status_code == 200
        asked = {run.headers["x-expect-instance"] for run in front.runs}
        assert len(asked) == len(front.runs)


@pytest.mark.anyio
async def test_an_extra_answer_belongs_to_no_request() -> None:
    """Fails if a connection is reused after bytes beyond an answer.

    Those bytes would be taken for the answer to the next request.
    """
    async with gateway_front.front(_Worker(faults=[_Fault.EXTRA])) as front:
        first = await front.send_request("order", "r1")
        second = await front.send_request("order", "r2")
        assert first.text == second.text == "answer i-1"
        assert second.headers["x-request-id"] == "r2"
        assert front.workers[0].connections == 2


@pytest.mark.anyio
async def test_an_early_answer_passes_and_the_rest_is_not_sent() -> None:
    """Fails if a connection is reused after a partly sent body.

    A worker that answers early does not read the rest of the body.
    """
    async with gateway_front.front(_Worker(faults=[_Fault.EARLY])) as front:
        first = await front.send_request("order", "r1", b"x" * 900_000)
        assert first.status_code == 413
        assert first.headers["x-server-signature"] == "signed by i-1"
        second = await front.send_request("order", "r2", b"y")
        assert second.status_code == 200
        assert [run.body for run in front.runs] == [b"y"]


@pytest.mark.anyio
async def test_a_stale_connection_is_not_used_for_an_unsafe_request() -> None:
    """Fails if idle connections are reused after the server's idle timeout."""
    async with gateway_front.front(_Worker()) as front:
        await front.send_request("order", "r1")
        await front.send_request("order", "r2")
        assert front.workers[0].connections == 1
        await anyio.sleep(0.6)
        await front.send_request("order", "r3")
        assert front.workers[0].connections == 2


@pytest.mark.anyio
async def test_idle_connections_to_servers_that_are_gone_are_closed() -> None:
    """Fails if idle connections are closed only when a request needs one.

    Connections to removed servers then stay open until the daemon ends.
    """
    workers = [_Worker("i-1"), _Worker("i-2")]
    async with gateway_front.front(*workers) as front:
        for number in range(8):
            await front.send_request("order", f"a{number}")
        transport = front.serving.backends._transport
        assert {address.server for address in transport._idle} == {"i-1", "i-2"}
        gateway_front.set_workers(front.context, workers[:1], version=8)
        await anyio.sleep(1.1)
        await front.send_request("order", "last")
        assert {address.server for address in transport._idle} == {"i-1"}


@pytest.mark.anyio
async def test_a_resumable_stream_goes_on_at_another_worker() -> None:
    workers = _workers(_Fault.CUT)
    for worker in workers:
        worker.pause_s = 0.02
    async with gateway_front.front(*workers) as front:
        answer = await front.send_request("rewrite")
        assert answer.status_code == 200
        lines = answer.text.split("\n\n")[:-1]
        assert [line.split("\n")[0] for line in lines] == [
            "id: 1",
            "id: 2",
            "id: 3",
        ]
        first, second = sorted(
            front.runs, key=lambda run: "last-event-id" in run.headers
        )
        assert second.headers["last-event-id"] == "2"
        # The caller has the headers and signature of the first worker.
        started = first.headers["x-expect-instance"]
        assert answer.headers["x-server-signature"] == f"signed by {started}"


@pytest.mark.anyio
async def test_a_stream_that_cannot_resume_never_looks_complete() -> None:
    """Fails if the gateway ends the body normally after a worker's cut."""
    async with gateway_front.front(*_workers(_Fault.CUT)) as front:
        with pytest.raises(httpx.RemoteProtocolError):
            await front.send_request("caption")
        assert len(front.runs) == 1


@pytest.mark.anyio
async def test_a_stream_may_end_with_its_connection() -> None:
    async with gateway_front.front(_Worker(unframed=True)) as front:
        answer = await front.send_request("caption")
        assert answer.status_code == 200
        assert answer.text.count("id: ") == 3
        assert answer.headers["transfer-encoding"] == "chunked"


@pytest.mark.anyio
async def test_a_stream_that_ends_before_its_first_event_is_broken_off() -> (
    None
):
    """Fails if the end of a connection passes for the end of a stream."""
    worker = _Worker(unframed=True, events=0)
    async with gateway_front.front(worker) as front:
        answer = await front.send_request("caption")
        assert answer.status_code == 502


@pytest.mark.anyio
async def test_the_answer_comes_at_the_routes_time_limit() -> None:
    muted = [_Worker("i-1", faults=[_Fault.MUTE])]
    async with gateway_front.front(*muted) as front:
        with anyio.fail_after(1.0):
            answer = await front.send_request("order", x_deadline_ms="300")
        assert answer.status_code == 504
        await anyio.sleep(0.1)
        assert front.workers[0].closed_early == ["r1"]


@pytest.mark.anyio
@pytest.mark.parametrize("route", ["status", "rewrite", "caption"])
async def test_a_caller_that_leaves_ends_its_run(route: str) -> None:
    """Fails if the gateway does not detect that a caller disconnects."""
    async with gateway_front.front(_Worker(pause_s=0.5)) as front:
        with anyio.move_on_after(0.2):
            await front.send_request(route)
        await anyio.sleep(0.2)
        assert len(front.runs) == 1
        assert front.workers[0].closed_early == ["r1"]
        assert front.serving.app.in_flight == 0


@pytest.mark.anyio
async def test_a_caller_that_leaves_lets_an_unsafe_run_end() -> None:
    async with gateway_front.front(_Worker(pause_s=0.4)) as front:
        with anyio.move_on_after(0.2):
            await front.send_request("order")
        await anyio.sleep(0.4)
        assert front.workers[0].closed_early == []


@pytest.mark.anyio
async def test_without_servers_a_request_is_refused_at_once_as_not_run() -> (
    None
):
    async with gateway_front.front() as front:
        with anyio.fail_after(0.5):
            answer = await front.send_request("order")
        assert answer.status_code == 503
        assert answer.json()["error"]["run_state"] == "not_run"


@pytest.mark.anyio
async def test_a_request_refused_by_all_workers_is_reported_as_not_run() -> (
    None
):
    async with gateway_front.front(*_workers(*[_Fault.SHED] * 4)) as front:
        answer = await front.send_request("order")
        assert answer.status_code == 503
        assert "retry-after" in answer.headers
        assert not front.runs


@pytest.mark.anyio
async def test_while_leaving_answers_close_their_connection() -> None:
    async with gateway_front.front(_Worker()) as front:
        front.serving.app.leaving = True
        answer = await front.send_request("status")
        assert answer.status_code == 200
        assert answer.headers["connection"] == "close"
        assert not front.serving.app.ready


_HEAD = (
    "POST /order/x HTTP/1.1\r\nHost: caps.example\r\n"
    f"Authorization: Bearer {gateway_front.KEY}\r\n"
)


@pytest.mark.anyio
@pytest.mark.parametrize(
    "rest",
    [
        "X-Request-Id: r\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "X-Request-Id: r\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n",
        "X-Request-Id: r\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "X-Request-Id: r\r\nX-Request-Id: s\r\nContent-Length: 0\r\n\r\n",
        "Content-Length: 0\r\n\r\n",
        "X-Request-Id: r\r\nX-Long: " + "a" * 70_000 + "\r\n\r\n",
        "X-Request-Id: r\r\nContent-Length: -1\r\n\r\n",
    ],
)
async def test_hostile_input_runs_nothing(rest: str) -> None:
    async with gateway_front.front(_Worker()) as front:
        answer = await front.send_raw((_HEAD + rest).encode())
        status = answer[9:12]
        assert status in {b"", b"400", b"431", b"501"}
        assert not front.runs
        assert (await front.send_request("order", "ok")).status_code == 200


@pytest.mark.anyio
async def test_a_request_half_sent_is_never_run() -> None:
    async with gateway_front.front(_Worker()) as front:
        half = "X-Request-Id: r\r\nContent-Length: 10\r\n\r\nabc"
        await front.send_raw((_HEAD + half).encode(), 0.1)
        assert not front.runs


@pytest.mark.anyio
async def test_content_length_with_chunked_encoding_smuggles_nothing() -> None:
    """Fails if Content-Length and chunked encoding allow request smuggling."""
    async with gateway_front.front(_Worker()) as front:
        smuggled = (
            "X-Request-Id: r\r\nContent-Length: 4\r\n"
            "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            "POST /order/evil HTTP/1.1\r\nHost: caps.example\r\n\r\n"
        )
        await front.send_raw((_HEAD + smuggled).encode())
        assert all("evil" not in run.target for run in front.runs)


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("route", "fault", "counted"),
    [
        ("order", _Fault.FAIL, 1),
        ("order", _Fault.SHED, 1),
        ("rewrite", _Fault.FAIL, 1),
        ("rewrite", _Fault.CUT, 2),
    ],
)
async def test_usage_counts_what_servers_began_to_run(
    route: str, fault: standin_worker.Fault, counted: int
) -> None:
    """Fails if a stream is counted that failed before its first token.

    In Capturista's run of trouble-1, usage window 358106321 was off by 56 of
    446 requests while servers failed requests immediately.
    """
    async with gateway_front.front(*_workers(fault)) as front:
        await front.send_request(route)
        assert front.usage.by_customer["studio"].requests == counted


@pytest.mark.anyio
async def test_a_route_without_a_service_does_not_stop_the_others() -> None:
    """Fails if one incomplete route makes the configuration unreadable."""
    async with gateway_front.front(_Worker()) as front:
        value = gateway_front.manifest_value()
        del value["routes"][1]["service"]
        gateway_front.set_workers(
            front.context, front.workers, version=8, routes=value["routes"]
        )
        assert (await front.send_request("status")).status_code == 200
        refused = await front.send_request("order")
        assert refused.status_code == 503
        assert refused.json()["error"]["run_state"] == "not_run"


@pytest.mark.anyio
@pytest.mark.parametrize("route", ["status", "order", "rewrite", "caption"])
async def test_a_server_that_is_silent_for_a_second_ends_no_answer(
    route: str,
) -> None:
    """Fails if silence passes for the loss of a server."""
    async with gateway_front.front(_Worker()) as front:
        await front.send_request(route, "r1")
        front.workers[0].silent_until = time.monotonic() + 1.2
        answer = await front.send_request(route, "r2")
        assert answer.status_code == 200
        assert [run.request_id for run in front.runs] == ["r1", "r2"]
