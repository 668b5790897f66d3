"""Tests the adapter to the platform's store, usage reports and orders."""

from collections.abc import AsyncIterator

import anyio
import pytest

from figstream import clock as clock_lib
from figstream import http_server
from figstream import metrics as metrics_lib
from figstream import object_follower
from figstream import platform_api
from figstream import platform_http
from figstream import serialization
from figstream import store_era
from figstream import usage_api
from figstream import usage_window
from figstream_platform import duties
from figstream_platform import standin_store
from figstream_platform import store as store_lib
from tests import odd_values


class _Adapter:
    def __init__(self, url: str, store: standin_store.Store) -> None:
        self.store = store
        self.http_client = platform_http.PlatformHttpClient(url, "entry-1", 1.0)
        self.era = store_era.StoreEra(clock_lib.ManualClock())
        self.metrics = metrics_lib.make_metrics()
        client = store_lib.StoreClient(self.http_client, self.era, self.metrics)
        self.objects = store_lib.StoreObjects(client)
        self.feed = store_lib.StoreFeed(client)


@pytest.fixture
async def adapter() -> AsyncIterator[_Adapter]:
    store = standin_store.Store()
    async with http_server.serve_app(store.application) as port:
        yield _Adapter(f"http://127.0.0.1:{port}", store)


@pytest.mark.anyio
async def test_writes_are_conditional_on_the_version(adapter: _Adapter) -> None:
    name = "leases/usage"
    assert await adapter.objects.read(name) == platform_api.Absent(name)
    first = await adapter.objects.write(name, b'{"a":1}', 0)
    assert isinstance(first, platform_api.Written)
    again = await adapter.objects.write(name, b'{"a":2}', 0)
    assert again == platform_api.Conflict(first.version)
    second = await adapter.objects.write(name, b'{"a":2}', first.version)
    assert isinstance(second, platform_api.Written)
    assert second.version > first.version
    found = await adapter.objects.read(name)
    assert found == platform_api.Found(name, second.version, b'{"a":2}')
    deep = await adapter.objects.write("usage/window/3", b"{}", 0)
    assert isinstance(deep, platform_api.Written)
    assert await adapter.objects.list_names("usage/window/") == (
        "usage/window/3",
    )
    gone = await adapter.objects.delete(name, second.version)
    assert isinstance(gone, platform_api.Written)
    assert await adapter.objects.read(name) == platform_api.Absent(name)


@pytest.mark.anyio
async def test_a_lost_answer_is_unknown_and_a_refusal_is_unavailable(
    adapter: _Adapter,
) -> None:
    adapter.store.faults.lost_answers = 1
    lost = await adapter.objects.write("leases/l", b"{}", 0)
    assert isinstance(lost, platform_api.Unknown)
    assert adapter.store.get("figstream-leases", "l") == {}
    adapter.store.faults.refused = {"entry-1"}
    refused = await adapter.objects.write("leases/m", b"{}", 0)
    assert isinstance(refused, platform_api.Unavailable)


@pytest.mark.anyio
async def test_lists_are_paged_and_watches_continue_from_their_position(
    adapter: _Adapter,
) -> None:
    for number in range(1_100):
        adapter.store.put("servers", f"i-{number:04}", {"n": number})
    found = await adapter.feed.snapshot("servers")
    assert isinstance(found, platform_api.Snapshot)
    assert len(found.items) == 1_100
    assert found.position == store_era.version_of(1, adapter.store.revision)

    async def change() -> None:
        await anyio.sleep(0.05)
        adapter.store.remove("servers", "i-0001")

    async with anyio.create_task_group() as group:
        group.start_soon(change)
        changes = await adapter.feed.changes("servers", found.position, 2.0)
    assert changes == platform_api.FeedChanges(
        (), ("i-0001",), store_era.version_of(1, adapter.store.revision)
    )


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("wait_s", "changes", "proven_s"),
    [(0.3, False, 0.3), (0.3, True, 0.0), (0.0, False, 0.0)],
)
async def test_a_watch_without_changes_proves_the_time_that_it_waited(
    adapter: _Adapter, wait_s: float, changes: bool, proven_s: float
) -> None:
    """Fails if a refusal needs a call of its own while the store is calm."""
    adapter.store.put("config", "main", {"n": 1})
    listed = await adapter.feed.snapshot("config")
    assert isinstance(listed, platform_api.Snapshot)
    if changes:
        adapter.store.put("config", "main", {"n": 2})
    found = await adapter.feed.changes("config", listed.position, wait_s)
    assert isinstance(found, platform_api.FeedChanges)
    assert found.proven_s == proven_s


@pytest.mark.anyio
async def test_discarded_history_is_distinguished_from_an_outage(
    adapter: _Adapter,
) -> None:
    adapter.store.put("config", "main", {})
    adapter.store.discard_history()
    listed = await adapter.feed.snapshot("config")
    assert isinstance(listed, platform_api.Snapshot)
    gone = await adapter.feed.changes("config", store_era.version_of(1, 1), 0.1)
    assert gone == platform_api.HistoryGone()
    adapter.store.faults.down = True
    down = await adapter.feed.changes("config", listed.position, 0.1)
    assert isinstance(down, platform_api.Unavailable)


@pytest.mark.anyio
async def test_usage_reports_name_the_window_by_its_number(
    adapter: _Adapter,
) -> None:
    reports = duties.UsageReports(adapter.http_client, 5.0)
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
    [sent] = adapter.store.duties
    assert (sent.path, sent.holder, sent.fencing) == ("/usage", "entry-1", 12)
    assert sent.fields == {"windowId": 10, "counts": {"studio": 7}}


@pytest.mark.anyio
async def test_an_order_is_not_sent_after_the_lease_is_lost(
    adapter: _Adapter,
) -> None:
    scaling = duties.HttpServiceScaling(adapter.http_client)
    order = platform_api.ScalingOrder("llm", "a", 3, True, 5)
    gone = await scaling.send(order, lambda: False)
    assert isinstance(gone, platform_api.Unavailable)
    assert not adapter.store.duties
    adapter.store.none_available = {"a"}
    out_of_capacity = await scaling.send(order)
    assert isinstance(out_of_capacity, platform_api.OrderRefused)
    assert out_of_capacity.none_available


@pytest.mark.anyio
async def test_a_restore_ends_the_watch_and_every_earlier_condition(
    adapter: _Adapter,
) -> None:
    """Fails if a revision of an earlier era is sent or believed.

    The store gives out the same revisions again, so that a condition or a
    position of an earlier era may fit another object.
    """
    name = "leases/usage"
    adapter.store.put("config", "main", 1)
    before = await adapter.feed.snapshot("config")
    assert isinstance(before, platform_api.Snapshot)
    written = await adapter.objects.write(name, b'{"a":1}', 0)
    assert isinstance(written, platform_api.Written)
    adapter.store.restore(age_s=60.0)
    for number in range(5):
        adapter.store.put("config", "main", number)
    lost = await adapter.feed.changes("config", before.position, 0.1)
    assert lost == platform_api.HistoryGone()
    again = await adapter.objects.write(name, b'{"b":1}', 0)
    assert isinstance(again, platform_api.Written)
    calls = adapter.store.calls["PUT figstream-leases"]
    refused = await adapter.objects.write(name, b'{"a":2}', written.version)
    assert isinstance(refused, platform_api.Conflict)
    assert adapter.store.calls["PUT figstream-leases"] == calls
    after = await adapter.feed.snapshot("config")
    assert isinstance(after, platform_api.Snapshot)
    assert after.position > before.position


@pytest.mark.anyio
async def test_a_write_answered_in_another_era_is_unknown(
    adapter: _Adapter,
) -> None:
    await adapter.feed.snapshot("config")
    adapter.store.restore(age_s=60.0)
    outcome = await adapter.objects.write("leases/usage", b"{}", 0)
    assert isinstance(outcome, platform_api.Unknown)
    assert adapter.era.restores == 1


@pytest.mark.anyio
async def test_a_waiting_watch_ends_with_the_restore(
    adapter: _Adapter,
) -> None:
    adapter.store.put("config", "main", 1)
    before = await adapter.feed.snapshot("config")
    assert isinstance(before, platform_api.Snapshot)

    async def restore() -> None:
        await anyio.sleep(0.05)
        adapter.store.restore(age_s=0.0)

    async with anyio.create_task_group() as group:
        group.start_soon(restore)
        cut = await adapter.feed.changes("config", before.position, 2.0)
    assert isinstance(cut, platform_api.Unavailable)
    gone = await adapter.feed.changes("config", before.position, 0.0)
    assert gone == platform_api.HistoryGone()


@pytest.mark.parametrize(
    "value", odd_values.UNREADABLE.values(), ids=odd_values.UNREADABLE
)
@pytest.mark.anyio
async def test_an_unreadable_entry_hides_no_other_entry_of_a_list(
    adapter: _Adapter, value: bytes
) -> None:
    for number in range(600):
        adapter.store.put("servers", f"i-{number:04}", {"n": number})
    for number in (0, 300, 499, 599):
        adapter.store.put_bytes("servers", f"i-{number:04}", value)
    found = await adapter.feed.snapshot("servers")
    assert isinstance(found, platform_api.Snapshot)
    values = [item.value for item in found.items]
    assert values == [
        None if number in {0, 300, 499, 599} else {"n": number}
        for number in range(600)
    ]
    assert found.position == store_era.version_of(1, adapter.store.revision)


@pytest.mark.parametrize(
    "value", odd_values.UNREADABLE.values(), ids=odd_values.UNREADABLE
)
@pytest.mark.anyio
async def test_an_unreadable_entry_hides_no_other_change(
    adapter: _Adapter, value: bytes
) -> None:
    """Fails also if the entry stays as it was, or can't be passed on."""
    adapter.store.put("servers", "i-1", {"n": 1})
    listed = await adapter.feed.snapshot("servers")
    assert isinstance(listed, platform_api.Snapshot)
    adapter.store.put("servers", "i-0", {"n": 0})
    revision = adapter.store.put_bytes("servers", "i-1", value)
    adapter.store.put("servers", "i-2", {"n": 2})
    adapter.store.remove("servers", "i-0")
    found = await adapter.feed.changes("servers", listed.position, 1.0)
    assert isinstance(found, platform_api.FeedChanges)
    assert found.deleted == ("i-0",)
    odd, sound = sorted(found.changed, key=lambda item: item.name)
    version = store_era.version_of(1, revision)
    assert odd == platform_api.StoredItem("i-1", version, None)
    assert (sound.name, sound.value) == ("i-2", {"n": 2})
    passed_on = serialization.to_json(
        object_follower.StoredItems(found.changed)
    )
    assert (
        serialization.from_json(passed_on, object_follower.StoredItems).items
        == found.changed
    )


@pytest.mark.anyio
async def test_an_unreadable_object_can_be_replaced(adapter: _Adapter) -> None:
    name = "daemons/entry-1"
    adapter.store.put_bytes("figstream-daemons", "entry-1", b"[" * 5_000)
    adapter.store.put_bytes("figstream-daemons", "entry-1", b"1e999")
    found = await adapter.objects.read(name)
    assert isinstance(found, platform_api.Found)
    assert found.body == b"null"
    refused = await adapter.objects.write(name, b"{}", 0)
    assert refused == platform_api.Conflict(found.version)
    written = await adapter.objects.write(name, b"{}", found.version)
    assert isinstance(written, platform_api.Written)


@pytest.mark.parametrize("spec", [b'"', b"[", b"[[]]]", b'{"a', b"}"])
@pytest.mark.anyio
async def test_an_answer_that_cannot_be_divided_is_a_failed_call(
    adapter: _Adapter, spec: bytes
) -> None:
    adapter.store.put("servers", "i-1", {"n": 1})
    listed = await adapter.feed.snapshot("servers")
    assert isinstance(listed, platform_api.Snapshot)
    adapter.store.put_bytes("servers", "i-0", spec)
    found = await adapter.feed.snapshot("servers")
    assert isinstance(found, platform_api.Unavailable)
    # The next call is a list, which is readable once the object is gone.
    gone = await adapter.feed.changes("servers", listed.position, 0.0)
    assert gone == platform_api.HistoryGone()


def _call_lines() -> list[str]:
    """Returns the lines of the page that count calls of one test."""
    return [
        line
        for line in metrics_lib.exposition().decode().splitlines()
        if line.startswith("figstream_store_calls_total{")
        and "figstream-counted" in line
    ]


@pytest.mark.anyio
async def test_calls_are_counted_by_what_they_ask_for(
    adapter: _Adapter,
) -> None:
    written = await adapter.objects.write("counted/usage", b"{}", 0)
    assert isinstance(written, platform_api.Written)
    await adapter.objects.read("counted/usage", stale=True)
    await adapter.objects.read("counted/none")
    found = await adapter.feed.snapshot("figstream-counted")
    assert isinstance(found, platform_api.Snapshot)
    for timeout_s in (0.0, 0.01):
        await adapter.feed.changes(
            "figstream-counted", found.position, timeout_s
        )
    kind = "figstream-counted"
    for call, outcome in (
        ("post", 201),
        ("stale_read", 200),
        ("read", 404),
        ("list", 200),
        ("poll", 200),
        ("watch", 200),
    ):
        labels = f'call="{call}",kind="{kind}",outcome="{outcome}"'
        assert f"figstream_store_calls_total{{{labels}}} 1.0" in _call_lines()
    assert len(_call_lines()) == 6
