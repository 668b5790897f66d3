"""Tests that the platform over HTTP behaves as the platform in memory."""

from collections.abc import AsyncIterator
import pathlib
import socket

import httpx
import pytest

from figstream import clock as clock_lib
from figstream import errors
from figstream import http_server
from figstream import platform_api
from figstream import platform_faults
from figstream import platform_http
from figstream import platform_memory
from figstream import platform_wire
from figstream import serialization
from figstream import standin_cli
from figstream import standin_platform

_TIMEOUT_S = 5.0


@pytest.fixture
def memory() -> platform_memory.MemoryPlatform:
    return platform_memory.MemoryPlatform()


@pytest.fixture
async def platform(
    memory: platform_memory.MemoryPlatform,
) -> AsyncIterator[platform_api.Platform]:
    app = standin_platform.make_app(memory)
    async with http_server.serve_app(app) as port:
        url = f"http://127.0.0.1:{port}"
        yield platform_http.make_platform(url, "entry-1", _TIMEOUT_S)


@pytest.mark.anyio
async def test_objects(platform: platform_api.Platform) -> None:
    objects = platform.objects
    name = "a/b c?%2F&é"
    assert await objects.read(name) == platform_api.Absent(name)
    written = await objects.write(name, b"\x00one", 0)
    assert isinstance(written, platform_api.Written)
    found = platform_api.Found(name, written.version, b"\x00one")
    assert await objects.read(name) == found
    conflict = platform_api.Conflict(written.version)
    assert await objects.write(name, b"two", 0) == conflict
    assert await objects.list_names("a/") == (name,)
    changes = await objects.watch("a/", 0, 1.0)
    assert changes == platform_api.Changes((name,), 1)
    assert await objects.watch("a/", 1, 0.01) == platform_api.Changes((), 1)
    deleted = await objects.delete(name, written.version)
    assert isinstance(deleted, platform_api.Written)
    assert await objects.list_names("") == ()


@pytest.mark.anyio
async def test_lost_answers_are_unknown_and_outages_are_not(
    platform: platform_api.Platform, memory: platform_memory.MemoryPlatform
) -> None:
    """Guards against treating a write whose answer was lost as failed.

    This happens if `PlatformHttpClient.call` returns `Unavailable` for a
    connection that closes before the answer is complete.
    """
    memory.objects.faults.lose_answers = 1
    outcome = await platform.objects.write("x", b"1", 0)
    assert isinstance(outcome, platform_api.Unknown)
    found = await platform.objects.read("x")
    assert isinstance(found, platform_api.Found)
    assert found.body == b"1"
    memory.usage.lose_answers = 1
    report = await platform.usage.report("w", b"figures", 3)
    assert isinstance(report, platform_api.Unknown)
    repeat = await platform.usage.report("w", b"figures", 3)
    assert repeat == platform_api.ReportAccepted()
    other = await platform.usage.report("w", b"others", 3)
    assert isinstance(other, platform_api.ReportRefused)
    memory.objects.faults.down = True
    refused = await platform.objects.write("x", b"2", found.version)
    assert isinstance(refused, platform_api.Unavailable)
    read = await platform.objects.read("x")
    assert isinstance(read, platform_api.Unavailable)


@pytest.mark.anyio
async def test_connect_failure_is_unavailable() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    gone = platform_http.make_platform(
        f"http://127.0.0.1:{port}", "entry-1", _TIMEOUT_S
    )
    outcome = await gone.objects.write("x", b"1", 0)
    assert isinstance(outcome, platform_api.Unavailable)


@pytest.mark.anyio
async def test_vms_orders_and_weights(
    platform: platform_api.Platform, memory: platform_memory.MemoryPlatform
) -> None:
    vm = platform_api.VirtualMachine("entry-1", "127.0.0.1", "a")
    memory.vms.vms["entry-1"] = vm
    assert await platform.vms.list_vms() == (vm,)
    start = platform_api.ServerOrder(
        "o1", platform_api.OrderKind.START, "a", model="m", fencing=2
    )
    accepted = await platform.orders.send(start)
    assert accepted == platform_api.OrderAccepted("ordered-o1")
    servers = await platform.orders.list_servers("a")
    assert servers == tuple(memory.orders.servers.values())
    late = platform_api.ServerOrder(
        "o2", platform_api.OrderKind.STOP, "a", "ordered-o1", fencing=1
    )
    refused = await platform.orders.send(late)
    assert isinstance(refused, platform_api.OrderRefused)
    assert refused.old_fencing
    memory.weights.wait_s = 1.5
    assert await platform.weights.reserve("org/model") == 1.5


@pytest.mark.anyio
async def test_faults_over_http(
    memory: platform_memory.MemoryPlatform,
) -> None:
    """Checks that each fault affects calls over HTTP as documented."""
    faults = platform_faults.FaultSettings(
        blocked_clients={"cut-off"},
        lose_answers={platform_faults.CallKind.ORDER: 1},
        lose_requests={platform_faults.CallKind.WRITE: 1},
        skip_changes=1,
        vms_frozen=True,
        fencing_ignored=True,
    )
    app = standin_platform.make_app(memory)
    async with (
        http_server.serve_app(app) as port,
        httpx.AsyncClient(base_url=f"http://127.0.0.1:{port}") as test,
    ):
        url = f"http://127.0.0.1:{port}"
        cut_off = platform_http.make_platform(url, "cut-off", _TIMEOUT_S)
        client = platform_http.make_platform(url, "entry-1", _TIMEOUT_S)
        assert await client.vms.list_vms() == ()
        body = serialization.to_json(faults)
        assert (await test.put("/faults", content=body)).status_code == 200
        blocked = await cut_off.objects.write("x", b"1", 0)
        assert isinstance(blocked, platform_api.Unknown)
        lost = await client.objects.write("x", b"1", 0)
        assert isinstance(lost, platform_api.Unknown)
        absent = await client.objects.read("x")
        assert absent == platform_api.Absent("x")
        written = await client.objects.write("x", b"1", 0)
        assert isinstance(written, platform_api.Written)
        skipped = await client.objects.watch("", 0, 0.05)
        assert skipped == platform_api.Changes((), 1)
        vm = platform_api.VirtualMachine("entry-1", "127.0.0.1", "a")
        vms = serialization.to_json(platform_wire.VmsBody((vm,)))
        assert (await test.put("/vms", content=vms)).status_code == 200
        assert await client.vms.list_vms() == ()
        kind = platform_api.OrderKind.START
        order = platform_api.ServerOrder("o2", kind, "a", fencing=2)
        unknown = await client.orders.send(order)
        assert isinstance(unknown, platform_api.Unknown)
        assert [item.order_id for item in memory.orders.received] == ["o2"]
        older = platform_api.ServerOrder("o1", kind, "a", fencing=1)
        accepted = await client.orders.send(older)
        assert isinstance(accepted, platform_api.OrderAccepted)
        counters = (await test.get("/counters")).json()["calls"]
        assert (counters["write"], counters["watch"]) == (3, 1)


@pytest.mark.anyio
async def test_rate_limit_counts_a_waiting_watch_as_one_call() -> None:
    clock = clock_lib.ManualClock()
    gate = platform_faults.FaultGate(clock)
    gate.faults.calls_per_s = 2.0
    memory = platform_memory.MemoryPlatform(gate=gate)
    objects = memory.interfaces("entry-1").objects
    found = [await objects.read("x") for _ in range(3)]
    kinds = [type(item) for item in found]
    assert kinds[:2] == [platform_api.Absent] * 2
    assert kinds[2] is platform_api.Unavailable
    clock.advance(0.5)
    watch = await objects.watch("", 0, 0.0)
    assert isinstance(watch, platform_api.Changes)
    assert isinstance(await objects.read("x"), platform_api.Unavailable)


def test_standin_settings() -> None:
    examples = pathlib.Path(__file__).parent.parent / "examples"
    text = (examples / "standin-platform.ini").read_text()
    found = standin_cli.parse_platform_options(text)
    assert found.port == 9000
    assert [vm.zone for vm in found.vms] == ["ba-central-a"]
    with pytest.raises(errors.SettingsError, match="IP address and"):
        standin_cli.parse_platform_options("[vms]\nentry-1 = here\n")
