"""The platform over HTTP answers as the platform in memory does."""

from collections.abc import AsyncIterator
import socket

import pytest

from figstream import http_server
from figstream import platform_api
from figstream import platform_http
from figstream import platform_memory
from figstream import standin_platform

pytestmark = pytest.mark.anyio
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


async def test_lost_answers_are_unknown_and_outages_are_not(
    platform: platform_api.Platform, memory: platform_memory.MemoryPlatform
) -> None:
    """Fails if `call` maps a broken connection to `Unavailable`."""
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


async def test_connect_failure_is_unavailable() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    gone = platform_http.make_platform(
        f"http://127.0.0.1:{port}", "entry-1", _TIMEOUT_S
    )
    outcome = await gone.objects.write("x", b"1", 0)
    assert isinstance(outcome, platform_api.Unavailable)


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
