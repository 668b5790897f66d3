"""Tests the checks, plans and links of the soak, and plays its CI seeds.

CI plays the seeds listed under `played_in_ci` in `test-data/soak_seeds.json`.
The other seeds in that file are in KNOWN-RED.txt until their fault is fixed.
"""

import contextlib
import json
import math
import pathlib

import anyio
import attrs
import pytest

from figstream_platform import standin_store
from figstream_platform import standin_worker
from soak import backends
from soak import callers
from soak import checks
from soak import daemons
from soak import links
from soak import plan
from soak import system

_SEEDS = json.loads(
    (
        pathlib.Path(__file__).parent.parent / "test-data" / "soak_seeds.json"
    ).read_text()
)


def _sent_request(
    request_id: str, route: str = "order", **more: object
) -> callers.SentRequest:
    fields: dict[str, object] = {
        "at": 10.0,
        "ended_at": 11.0,
        "status": 200,
        "whole": True,
        "headers": {
            "x-request-id": request_id,
            "x-server-signature": "signed by w-1",
        },
        "body": b"answer w-1",
    }
    return callers.SentRequest(
        request_id,
        0,
        route,
        "key",
        **({"content": request_id.encode()} | fields | more),  # type: ignore[arg-type]
    )


def _worker_run(
    request_id: str, route: str = "order", at: float = 10.1, **more: str
) -> standin_worker.Run:
    return standin_worker.Run(
        request_id,
        "POST",
        f"/{route}/x",
        {"x-tenant": "studio", **more},
        request_id.encode(),
        at,
    )


def _observations(**more: object) -> checks.Observations:
    return checks.Observations(**more)  # type: ignore[arg-type]


def _usage(
    window: int, count: int, fencing: int, holder: str, at: float
) -> standin_store.DutyCall:
    fields = {"windowId": window, "counts": {"studio": count}}
    return standin_store.DutyCall("/usage", holder, fencing, fields, at)


_STREAM = b"id: 1\ndata: w-1\n\nid: 2\ndata: w-2\n\nid: 3\ndata: w-2\n\n"
_VIOLATIONS = [
    (
        "an order that ran twice",
        {
            "sent": [_sent_request("a")],
            "runs": {"w-1": [_worker_run("a")], "w-2": [_worker_run("a")]},
        },
        "may run once",
    ),
    (
        "a refused request that ran",
        {
            "sent": [_sent_request("a", status=503)],
            "runs": {"w-1": [_worker_run("a")]},
        },
        "and ran",
    ),
    (
        "the answer of another request",
        {
            "sent": [
                _sent_request(
                    "a",
                    headers={
                        "x-request-id": "b",
                        "x-server-signature": "signed by w-1",
                    },
                )
            ]
        },
        "another request",
    ),
    (
        "a truncated answer marked as complete",
        {"sent": [_sent_request("a", body=b"answ")]},
        "signed by",
    ),
    (
        "a stream with an event missing",
        {
            "sent": [
                _sent_request(
                    "a", "rewrite", body=_STREAM.replace(b"id: 2", b"")
                )
            ]
        },
        "as a complete answer",
    ),
    (
        "a stream of two software versions",
        {
            "sent": [
                _sent_request("a", "rewrite", body=_STREAM[:17], whole=False),
                _sent_request(
                    "b",
                    "rewrite",
                    body=_STREAM[17:],
                    headers={
                        "x-request-id": "b",
                        "x-server-signature": "signed by w-2",
                    },
                    resumes="a",
                    after=1,
                ),
            ],
            "fault_periods": [checks.FaultPeriod(checks.Scope.ALL, None, 0.0)],
            "software": {"w-1": "v1", "w-2": "v2"},
        },
        "has events of software ['v1', 'v2']",
    ),
    (
        "a daemon without a path to workers that serves nobody",
        {
            "sent": [
                _sent_request(f"{number}", at=14.0, status=503)
                for number in range(12)
            ],
            "partitions": [(0, 10.0, 17.0)],
        },
        "daemon 0 without a path served 0/12",
    ),
    (
        "workers that refusals crash",
        {
            "refusal_limit_periods": [(10.0, 17.0)],
            "refusal_crashes_at": [14.0, 15.0, 16.0],
        },
        "crashed 3 times by refusals",
    ),
    (
        "a request that no caller sent",
        {"runs": {"w-1": [_worker_run("zz")]}},
        "no caller sent",
    ),
    (
        "a key sent to a worker",
        {
            "sent": [_sent_request("a")],
            "runs": {"w-1": [_worker_run("a", authorization="Bearer k")]},
        },
        "received the key",
    ),
    (
        "a drain that becomes active too late",
        {
            "sent": [_sent_request("a")],
            "runs": {"w-1": [_worker_run("a", at=12.5)]},
            "drained": {"w-1": 10.0},
        },
        "too late",
    ),
    (
        "a zone that is not empty in time",
        {
            "sent": [_sent_request("a")],
            "runs": {"w-1": [_worker_run("a", at=12.5)]},
            "zones": {"w-1": "a"},
            "evacuations": [("b", 9.0, 30.0), ("a", 10.0, 30.0)],
        },
        "emptied zone a 0.50 s too late",
    ),
    (
        "a key that is accepted after its removal",
        {
            "sent": [_sent_request("a", "status", at=13.0)],
            "revoked": {"key": 10.0},
        },
        "served 1.00 s too late",
    ),
    (
        "an answer that a daemon ended early",
        {
            "sent": [
                _sent_request("a", status=0, whole=False, fault="ReadError")
            ]
        },
        "ended with ReadError",
    ),
    (
        "a window with two counts",
        {
            "duties": [
                _usage(1, 5, 1, "entry-0", 1.0),
                _usage(1, 6, 1, "entry-0", 2.0),
            ]
        },
        "other counts",
    ),
    (
        "a fencing number that falls",
        {
            "duties": [
                _usage(1, 5, 2, "entry-0", 1.0),
                _usage(2, 6, 1, "entry-1", 9.0),
            ]
        },
        "came after",
    ),
    (
        "a crashing request that still runs",
        {
            "sent": [
                _sent_request(
                    f"{number}", "status", content=b"crashes", status=502
                )
                for number in range(8)
            ],
            "runs": {
                f"w-{number}": [
                    attrs.evolve(
                        _worker_run(
                            f"{number}", "status", at=10.0 + 2 * number
                        ),
                        body=b"crashes",
                    )
                ]
                for number in range(8)
            },
        },
        "still ran",
    ),
    (
        "sound prompts refused for another's block",
        {
            "sent": [
                _sent_request(
                    "a",
                    "rewrite",
                    status=503,
                    blocks=("aa", "cc"),
                    body=b"prompt_crashes_servers",
                )
            ]
        },
        "sound prompts",
    ),
    (
        "duties that go back and forth",
        {
            "duties": [
                _usage(1, 5, 1, "entry-0", 1.0),
                _usage(2, 6, 2, "entry-1", 1.3),
                _usage(3, 6, 3, "entry-0", 1.6),
            ]
        },
        "duties returned to entry-0",
    ),
]


@pytest.mark.parametrize(
    ("fields", "expected_message"),
    [case[1:] for case in _VIOLATIONS],
    ids=[case[0] for case in _VIOLATIONS],
)
def test_a_broken_promise_is_found(
    fields: dict[str, object], expected_message: str
) -> None:
    broken = checks.broken_promises(_observations(**fields))
    assert len(broken) == 1
    assert expected_message in broken[0]


def test_kept_promises_are_not_reported() -> None:
    observed = _observations(
        sent=[_sent_request("a"), _sent_request("b", "rewrite", body=_STREAM)],
        runs={"w-1": [_worker_run("a")], "w-2": [_worker_run("b", "rewrite")]},
        duties=[_usage(1, 5, 1, "entry-0", 1.0)] * 2,
    )
    assert checks.broken_promises(observed) == []


def test_troubles_excuse_what_they_touch_only() -> None:
    late = {
        "sent": [_sent_request("a")],
        "runs": {"w-1": [_worker_run("a", at=12.5)]},
        "drained": {"w-1": 10.0},
    }
    for daemon, excused in ((0, True), (1, False), (None, True)):
        fault_period = checks.FaultPeriod(checks.Scope.ALL, daemon, 7.5, 8.0)
        broken = checks.broken_promises(
            _observations(fault_periods=[fault_period], **late)
        )
        assert bool(broken) is not excused
    stop = checks.FaultPeriod(checks.Scope.STOP, 0, 9.0, math.inf)
    cut = [_sent_request("a", status=0, whole=False, fault="ConnectError")]
    assert not checks.broken_promises(
        _observations(fault_periods=[stop], sent=cut)
    )
    ran = {"w-1": [_worker_run("a")]}
    assert checks.broken_promises(
        _observations(fault_periods=[stop], sent=cut, runs=ran)
    )


def test_a_seed_gives_the_same_plan() -> None:
    assert plan.make_plan(7) == plan.make_plan(7)
    kinds = {event.kind for seed in range(60) for event in plan.make_plan(seed)}
    assert kinds == set(plan.EventKind)


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("mode", "answered"),
    [
        (links.LinkMode.PASS, b"ping"),
        (links.LinkMode.DELAY, b"ping"),
        (links.LinkMode.SILENT, b""),
        (links.LinkMode.DEAF, b""),
        (links.LinkMode.RESET, None),
    ],
)
async def test_a_link_has_the_fault_and_heals(
    mode: links.LinkMode, answered: bytes | None
) -> None:
    async def echo(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            with contextlib.suppress(anyio.BrokenResourceError):
                async for chunk in stream:
                    await stream.send(chunk)

    async with anyio.create_task_group() as group:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        group.start_soon(listener.serve, echo)
        link = links.Link(port)
        await group.start(link.serve)
        async with await anyio.connect_tcp("127.0.0.1", link.port) as stream:
            link.set_mode(mode)
            received: bytes | None = b""
            try:
                await stream.send(b"ping")
                with anyio.move_on_after(0.5):
                    received = await stream.receive()
            except (anyio.BrokenResourceError, anyio.EndOfStream):
                received = None
            assert received == answered
            link.set_mode(links.LinkMode.PASS)
            if answered == b"":
                assert await stream.receive() == b"ping"
        group.cancel_scope.cancel()


def test_ports_are_given_to_one_daemon_only(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against two soaks that start daemons on one port."""
    monkeypatch.setattr(daemons, "_PORTS", range(20_000, 20_128))
    ports = [port for _ in range(12) for port in daemons.free_ports(4)]
    assert len(set(ports)) == len(ports)


@pytest.mark.anyio
async def test_a_silent_link_ends_when_the_soak_does() -> None:
    """Guards against a proxy task that waits for a heal after a failed soak.

    The task would then keep the task group from ending.
    """
    with anyio.fail_after(5.0):
        async with anyio.create_task_group() as group:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            group.start_soon(listener.serve, lambda stream: stream.aclose())
            link = links.Link(port)
            await group.start(link.serve)
            link.set_mode(links.LinkMode.SILENT)
            async with await anyio.connect_tcp("127.0.0.1", link.port):
                await anyio.sleep(0.2)
                group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_a_worker_that_a_request_crashes_refuses_before_it_breaks() -> (
    None
):
    """Guards against a crash that looks like a broken connection."""
    async with anyio.create_task_group() as group:
        backend_servers = backends.Backends(group, 1)
        await backend_servers.start()
        site = backend_servers.sites[0]
        site.worker.down_s = 0.2
        for _ in range(3):
            async with await anyio.connect_tcp(
                "127.0.0.1", site.link.port
            ) as stream:
                await anyio.sleep(0.1)
                group.start_soon(site.worker.crash)
                with pytest.raises(
                    (anyio.EndOfStream, anyio.BrokenResourceError)
                ):
                    await stream.receive()
            with pytest.raises(OSError, match="connect"):
                await anyio.connect_tcp("127.0.0.1", site.link.port)
            await anyio.sleep(0.4)
        group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_a_crashed_worker_takes_no_connection_until_it_returns() -> None:
    """Guards against a crashed worker whose socket continues to listen.

    The port would stay in use, and the new worker could not start on it.
    """
    async with anyio.create_task_group() as group:
        backend_servers = backends.Backends(group, 1)
        await backend_servers.start()
        site = backend_servers.sites[0]
        crashed = site.worker
        backend_servers.crash(site)
        await anyio.sleep(0.1)
        with pytest.raises(OSError, match="connect"):
            await anyio.connect_tcp("127.0.0.1", crashed.port)
        await backend_servers.restart(site)
        assert site.worker.port == crashed.port
        async with await anyio.connect_tcp("127.0.0.1", site.link.port):
            await anyio.sleep(0.1)
        assert (crashed.connections, site.worker.connections) == (0, 1)
        group.cancel_scope.cancel()


@pytest.mark.anyio
@pytest.mark.parametrize("seed", _SEEDS["played_in_ci"])
async def test_a_seed_keeps_every_promise(
    seed: int, tmp_path: pathlib.Path
) -> None:
    result = await system.play(seed, tmp_path)
    assert result.broken == []
    assert result.served > 50
