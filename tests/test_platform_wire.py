"""Tests how the adapter decodes server entries, manifests and headers."""

import copy
import json
import pathlib
from typing import Any

import pytest

from figstream import backend_connection
from figstream import backend_server
from figstream import engine_protocol
from figstream import errors
from figstream import gateway_dialect
from figstream import platform_api
from figstream_platform import callers
from figstream_platform import manifest
from figstream_platform import workers
from tests import gateway_front

_ENTRIES = json.loads(
    (
        pathlib.Path(__file__).parent.parent / "test-data/server_entries.json"
    ).read_text()
)


@pytest.mark.parametrize("case", _ENTRIES, ids=lambda item: item["case"])
def test_unusable_server_entries_are_rejected(case: dict[str, Any]) -> None:
    item = platform_api.StoredItem("i-1", 3, case["value"])
    if not case["usable"]:
        with pytest.raises(errors.ConfigurationError) as found:
            workers.decode_entry(item)
        assert len(str(found.value)) < 400
        return
    server = workers.decode_entry(item)
    assert (server.name, server.url) == ("i-1", "http://10.0.0.9:8080")
    assert server.software == case["value"].get("version", "")
    draining = case["value"]["state"] == "draining"
    assert (server.state is backend_server.ServerState.DRAINING) == draining


@pytest.mark.parametrize("name", ["i\r\nx: y", "i\x00", "\u0131", "i" * 201])
def test_a_server_whose_name_no_header_holds_is_rejected(name: str) -> None:
    [value, *_] = [case["value"] for case in _ENTRIES if case["usable"]]
    with pytest.raises(errors.ConfigurationError):
        workers.decode_entry(platform_api.StoredItem(name, 3, value))


@pytest.mark.parametrize(
    ("value", "report"),
    [
        (b"3,0,8", engine_protocol.LoadReport(3, 0)),
        (b"3,0,8,100", engine_protocol.LoadReport(3, 0)),
        (b"3,0,8,245", engine_protocol.LoadReport(3, 0, slowdown=2.45)),
        (b"3,0,8,0", engine_protocol.LoadReport(3, 0, slowdown=0.01)),
        (b"3,0,8,99999", engine_protocol.LoadReport(3, 0, slowdown=100.0)),
        (b"3,0,8,", None),
        (b"3,0,8,-1", None),
        (b"3,0,8,1.5", None),
        (b"3,0,8,100,1", None),
        (b"999999999,0,8", engine_protocol.LoadReport(999_999_999, 0)),
        (b"1000000000,0,8", None),
        (b"%b,0,8" % (b"9" * 400), None),
        (b"0,%b,8" % (b"9" * 5_000), None),
        (b"-1,0,8", None),
        (b"3,0", None),
    ],
)
def test_a_load_too_large_to_compute_with_is_no_report(
    value: bytes, report: engine_protocol.LoadReport | None
) -> None:
    head = backend_connection.Head(200, ((workers.LOAD, value),))
    assert workers.WorkerDialect().load(head) == report


def test_a_manifest_becomes_routes_of_three_kinds() -> None:
    found = gateway_front.decode_manifest()
    routes = {route.name: route for route in found.gateway_routes}
    assert found.generation == 7
    assert routes["status"].idempotent
    assert not routes["order"].idempotent
    assert routes["rewrite"].idempotent
    assert routes["rewrite"].resumable
    assert not routes["caption"].idempotent
    assert routes["caption"].streamed
    assert routes["rewrite"].attempt_limit == 2
    assert routes["rewrite"].timeout_s == 2.0


def test_the_longest_prefix_of_the_host_is_the_route() -> None:
    value = gateway_front.manifest_value()
    base = value["routes"][0]
    value["routes"] = [
        {**base, "name": "short", "pathPrefix": "/a/"},
        {**base, "name": "long", "pathPrefix": "/a/b/"},
        {**base, "name": "root", "host": "other.example", "pathPrefix": "/"},
    ]
    table = manifest.decode(
        platform_api.StoredItem("main", 1, value)
    ).gateway_table

    def name(host: str, path: str) -> str | None:
        found = table.find(host, path)
        return found.name if found else None

    assert name("caps.example", "/a/x") == "short"
    assert name("CAPS.example:80", "/a/b/") == "long"
    assert name("caps.example", "/a/b") == "short"
    assert name("caps.example", "/a") is None
    assert name("caps.example", "/") is None
    assert name("other.example", "/a/b/c") == "root"
    assert name("none.example", "/a/") is None


@pytest.mark.parametrize(
    "value",
    [
        None,
        [],
        {},
        {"version": 1},
        {"version": "x", "routes": [], "services": []},
        {"version": 1, "routes": [{}], "services": []},
        {"version": 1, "routes": [], "services": [{"name": 1, "scaling": 2}]},
    ],
)
def test_an_unreadable_manifest_is_an_error_not_a_crash(value: Any) -> None:
    with pytest.raises(errors.ConfigurationError):
        manifest.decode(platform_api.StoredItem("main", 1, value))


def test_a_customers_tier_goes_before_its_routes() -> None:
    found = gateway_front.decode_manifest(
        tenants=[{"name": "studio", "apiKeys": ["k"], "priority": 0}]
    )
    assert found.gateway_tiers == {"studio": 0}
    assert not gateway_front.decode_manifest().gateway_tiers


def test_the_tier_of_a_route_decides_between_equal_customers() -> None:
    """Fails if all requests of a customer are equally urgent.

    Engines then preempt short answers while long prompts of the same customer
    run on. Seen on scale-1 of the grown third site (TIER, entry ada269f9).
    """
    route = gateway_front.manifest_value()["routes"][0]
    found = gateway_front.decode_manifest(
        routes=[
            {**route, "name": f"r{tier}", "priority": tier} for tier in range(3)
        ],
        tenants=[
            {"name": "first", "apiKeys": ["k"], "priority": 0},
            {"name": "second", "apiKeys": ["l"], "priority": 1},
        ],
    )
    ranked = [
        found.gateway_tier(customer, tier)
        for customer in ("first", "second")
        for tier in range(3)
    ]
    assert ranked == [0, 1, 2, 3, 4, 5]


def test_a_customer_without_a_tier_has_that_of_the_route() -> None:
    found = gateway_front.decode_manifest(
        tenants=[
            {"name": "first", "apiKeys": ["k"], "priority": 0},
            {"name": "other", "apiKeys": ["l"]},
        ],
    )
    assert found.gateway_tier("first", 2) < found.gateway_tier("other", 2)
    assert gateway_front.decode_manifest().gateway_tier("studio", 2) == 2


def _read(**headers: str) -> Any:
    listed = [(b"host", b"h"), (b"x-request-id", b"r")]
    listed += [
        (name.replace("_", "-").encode(), value.encode())
        for name, value in headers.items()
    ]
    scope = {
        "headers": listed,
        "method": "POST",
        "raw_path": b"/a%2Fb/",
        "query_string": b"",
    }
    return callers.PlatformCallers().read(scope)


def test_the_prompt_headers_give_the_shared_blocks() -> None:
    head = _read(
        x_token_count="1460,80",
        x_prefix_hash="5c1e07a2:800, 91bd3f06:410,e4402b7d:250",
    )
    assert isinstance(head, gateway_dialect.CallerHead)
    prompt = head.prompt
    assert (prompt.tokens, prompt.max_output_tokens) == (1460, 80)
    assert prompt.shared_tokens == 1210
    assert (prompt.first_block, prompt.first_block_tokens) == (0x5C1E07A2, 800)
    assert prompt.shared_block == 0x91BD3F06
    assert prompt.shared_blocks == (0x5C1E07A2, 0x91BD3F06)
    assert head.path == "/a%2Fb/"


@pytest.mark.parametrize(
    "headers",
    [
        {"x_token_count": "many", "x_prefix_hash": "zz:1,yy:2"},
        {"x_token_count": "", "x_prefix_hash": ""},
        {"x_token_count": "-5,nan", "x_prefix_hash": "1,2,3"},
        {"x_deadline_ms": "soon"},
    ],
)
def test_hints_that_cannot_be_read_are_left_out(
    headers: dict[str, str],
) -> None:
    head = _read(**headers)
    assert isinstance(head, gateway_dialect.CallerHead)
    assert head.prompt.tokens == 0
    assert head.wait_s is None


def test_headers_named_by_connection_are_not_passed_but_the_id_is() -> None:
    head = _read(connection="x-a, x-request-id", x_a="1", x_b="2")
    assert isinstance(head, gateway_dialect.CallerHead)
    names = [name for name, _ in head.passed]
    assert b"x-a" not in names
    assert b"connection" not in names
    assert b"x-b" in names
    assert b"x-request-id" in names


def test_routes_that_a_version_leaves_alone_are_not_decoded_again() -> None:
    """Fails if a change costs a daemon the time of a whole configuration."""
    value = gateway_front.manifest_value()
    decoder = manifest.ManifestDecoder()
    first = decoder.decode(platform_api.StoredItem("main", 1, value))
    changed = copy.deepcopy(value)
    changed["routes"][1]["timeoutMs"] = 5_000
    changed["routes"].append({**value["routes"][0], "name": "added"})
    del changed["routes"][0]
    item = platform_api.StoredItem("main", 2, changed)
    second = decoder.decode(item)
    assert second == manifest.decode(item)
    assert second.gateway_routes[0].timeout_s == 5.0
    assert second.gateway_routes[1] is first.gateway_routes[2]
    with pytest.raises(errors.ConfigurationError):
        decoder.decode(platform_api.StoredItem("main", 3, {"routes": [{}]}))
    assert decoder.decode(item) == second
