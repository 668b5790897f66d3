"""Tests the adapter to the platform's store, usage reports and orders."""

from collections.abc import AsyncIterator

import anyio
import pytest

from figstream import http_server
from figstream import platform_api
from figstream import platform_http
from figstream import serialization
from figstream import usage_api
from figstream import usage_window
from figstream_platform import duties
from figstream_platform import standin_store
from figstream_platform import store as store_lib


class _Made:
    def __init__(self, url: str, held: standin_store.Store) -> None:
        self.held = held
        self.caller = platform_http.HttpCaller(url, "entry-1", 1.0)
        self.objects = store_lib.StoreObjects(self.caller)
        self.feed = store_lib.StoreFeed(self.caller)


@pytest.fixture
async def made() -> AsyncIterator[_Made]:
    held = standin_store.Store()
    async with http_server.serve_app(held.application) as port:
        yield _Made(f"http://127.0.0.1:{port}", held)


@pytest.mark.anyio
async def test_writes_are_conditional_on_the_version(made: _Made) -> None:
    name = "leases/usage"
    assert await made.objects.read(name) == platform_api.Absent(name)
    first = await made.objects.write(name, b'{"a":1}', 0)
    assert isinstance(first, platform_api.Written)
    again = await made.objects.write(name, b'{"a":2}', 0)
    assert again == platform_api.Conflict(first.version)
    second = await made.objects.write(name, b'{"a":2}', first.version)
    assert isinstance(second, platform_api.Written)
    assert second.version > first.version
    found = await made.objects.read(name)
    assert found == platform_api.Found(name, second.version, b'{"a":2}')
    deep = await made.objects.write("usage/window/3", b"{}", 0)
    assert isinstance(deep, platform_api.Written)
    assert await made.objects.list_names("usage/window/") == ("usage/window/3",)
    gone = await made.objects.delete(name, second.version)
    assert isinstance(gone, platform_api.Written)
    assert await made.objects.read(name) == platform_api.Absent(name)


@pytest.mark.anyio
async def test_a_lost_answer_is_no_failure_and_a_refusal_is(
    made: _Made,
) -> None:
    made.held.faults.lost_answers = 1
    lost = await made.objects.write("leases/l", b"{}", 0)
    assert isinstance(lost, platform_api.Unknown)
    assert made.held.get("figstream-leases", "l") == {}
    made.held.faults.refused = {"entry-1"}
    refused = await made.objects.write("leases/m", b"{}", 0)
    assert isinstance(refused, platform_api.Unavailable)


@pytest.mark.anyio
async def test_lists_have_pages_and_watches_go_on_from_them(
    made: _Made,
) -> None:
    for number in range(1_100):
        made.held.put("servers", f"i-{number:04}", {"n": number})
    found = await made.feed.snapshot("servers")
    assert isinstance(found, platform_api.Snapshot)
    assert len(found.items) == 1_100
    assert found.position == made.held.revision

    async def change() -> None:
        await anyio.sleep(0.05)
        made.held.remove("servers", "i-0001")

    async with anyio.create_task_group() as group:
        group.start_soon(change)
        changes = await made.feed.changes("servers", found.position, 2.0)
    assert changes == platform_api.FeedChanges(
        (), ("i-0001",), made.held.revision
    )


@pytest.mark.anyio
async def test_forgotten_history_is_told_apart_from_an_outage(
    made: _Made,
) -> None:
    made.held.put("config", "main", {})
    made.held.forget_history()
    gone = await made.feed.changes("config", 1, 0.1)
    assert gone == platform_api.HistoryGone()
    made.held.faults.down = True
    down = await made.feed.changes("config", 9, 0.1)
    assert isinstance(down, platform_api.Unavailable)


@pytest.mark.anyio
async def test_usage_reports_name_the_window_by_its_number(
    made: _Made,
) -> None:
    reports = duties.UsageReports(made.caller, 5.0)
    report = usage_window.UsageReport(
        "w",
        50_000,
        55_000,
        (
            usage_api.UsageItem("studio", "a", 3),
            usage_api.UsageItem("studio", "b", 4),
            usage_api.UsageItem("", "open", 9),
        ),
        (),
    )
    outcome = await reports.report("w", serialization.to_json(report), 12)
    assert outcome == platform_api.ReportAccepted()
    [sent] = made.held.duties
    assert (sent.path, sent.holder, sent.fencing) == ("/usage", "entry-1", 12)
    assert sent.fields == {"windowId": 10, "counts": {"studio": 7}}


@pytest.mark.anyio
async def test_a_duty_is_not_sent_once_the_lease_is_gone(made: _Made) -> None:
    scaling = duties.Scaling(made.caller)
    order = platform_api.ScalingOrder("llm", "a", 3, True, 5)
    gone = await scaling.send(order, lambda: False)
    assert isinstance(gone, platform_api.Unavailable)
    assert not made.held.duties
    made.held.none_available = {"a"}
    dry = await scaling.send(order)
    assert isinstance(dry, platform_api.OrderRefused)
    assert dry.none_available
