"""Tests of the regions that routes and customers allow."""

from collections.abc import Sequence
import random

import attrs
import pytest

from figstream import backend_server
from figstream import clock as clock_lib
from figstream import gateway_options
from figstream import homes
from figstream import membership_api
from figstream import metrics
from figstream import peer_tunnels
from figstream import platform_api
from figstream import request_target
from figstream_platform import standin_worker
from tests import gateway_front
from tests import gateway_parts
from tests import lease_parts

_NORTH = frozenset({"north"})
_BOTH = frozenset({"north", "south"})
_ALL: frozenset[str] = frozenset()


@pytest.mark.parametrize(
    ("route", "customer", "found"),
    [
        (_ALL, _ALL, None),
        (_NORTH, _ALL, _NORTH),
        (_ALL, _NORTH, _NORTH),
        (_BOTH, _NORTH, _NORTH),
        (_NORTH, frozenset({"south"}), frozenset()),
    ],
)
def test_the_homes_of_route_and_customer_both_bind(
    route: frozenset[str], customer: frozenset[str], found: homes.Homes
) -> None:
    assert homes.common(route, customer) == found


def test_a_target_with_homes_has_no_server_elsewhere() -> None:
    target = request_target.Target(service="s", homes=_NORTH)
    server = backend_server.BackendServer("i", "http://h:1", "a", service="s")
    for region, served in (("north", True), ("south", False), ("", False)):
        here = attrs.evolve(server, region=region)
        assert target.served_by(here) is served
    anywhere = request_target.Target(service="s")
    assert anywhere.served_by(server)


@pytest.mark.anyio
async def test_servers_get_the_region_of_their_zone() -> None:
    directory = gateway_parts.DirectoryFixture(regions={"a": "north"})
    items = (gateway_parts.item("i", 1, "a"), gateway_parts.item("j", 2, "b"))
    await directory.run_follower(platform_api.Snapshot(items, 5))
    found = {x.name: x.region for x in directory.directory.servers}
    assert found == {"i": "north", "j": ""}


@pytest.mark.anyio
@pytest.mark.parametrize("of_customer", [False, True])
@pytest.mark.parametrize("route", ["status", "order", "rewrite"])
async def test_no_request_runs_outside_its_homes(
    route: str, of_customer: bool
) -> None:
    """Fails on the code before, which sends to the nearest server.

    The server at home refuses first, so that a retry is due.
    """
    home = standin_worker.Worker("i-1", faults=[standin_worker.Fault.SHED])
    other = standin_worker.Worker("i-2")
    value = gateway_front.manifest_value(8)
    bound = value["tenants"] if of_customer else value["routes"]
    for item in bound:
        item["regionsAllowed"] = ["north"]
    async with gateway_front.front(home, other) as front:
        gateway_front.set_workers(front.context, [], **value)
        _set_servers(front, [(home, "north"), (other, "south")])
        answers = [
            await front.send_request(route, f"r{number}") for number in range(9)
        ]
        assert not other.runs
        assert sum(item.status_code == 200 for item in answers) >= 8
        _set_servers(front, [(other, "south")])
        answer = await front.send_request(route, "nowhere")
        assert answer.status_code == 503
        assert answer.json()["error"]["run_state"] == "not_run"
        assert not other.runs


def _set_servers(
    front: gateway_front.Front,
    workers: Sequence[tuple[standin_worker.Worker, str]],
) -> None:
    servers = tuple(
        attrs.evolve(gateway_front.server_of(worker, service), region=region)
        for worker, region in workers
        for service in ("llm", "render")
    )
    configuration = front.context.holder.current
    front.context.scheduler.set_configuration(
        attrs.evolve(configuration, servers=servers)
    )


def test_a_route_that_may_run_nowhere_is_found() -> None:
    value = gateway_front.manifest_value(8)
    value["routes"][0]["regionsAllowed"] = ["west"]
    value["routes"][1]["regionsAllowed"] = ["south"]
    value["routes"][2]["regionsAllowed"] = ["north"]
    value["tenants"][0]["regionsAllowed"] = ["north"]
    configuration = gateway_front.decode_manifest(**value)
    assert homes.are_used(configuration)
    found = list(homes.homeless(configuration, ["north", "south"]))
    assert found == [("status", ""), ("order", "studio")]
    plain = gateway_front.decode_manifest()
    assert not homes.are_used(plain)
    assert not list(homes.homeless(plain, ["north"]))


def test_a_body_goes_through_a_peer_in_the_region_of_the_server_only() -> None:
    members = lease_parts.SingleMembership("entry-0")
    peers = [
        membership_api.Member(f"entry-{number}", "a", region, "", 1)
        for number, region in enumerate(["north", "north", "south"])
    ]
    members.live = lambda: peers  # type: ignore[method-assign]
    for region, names in (
        ("north", ["entry-1"]),
        ("", ["entry-1", "entry-2"]),
        ("west", []),
    ):
        tunnels = peer_tunnels.PeerTunnels(
            members,
            clock_lib.ManualClock(),
            metrics.make_unexported_metrics(),
            random.Random(1),
            lambda _: "",
        )
        found = tunnels._candidates(region)
        assert sorted(item.name for item in found) == names


@pytest.mark.parametrize(
    ("text", "found"),
    [
        ("", {}),
        ("a:north,b:south", {"a": "north", "b": "south"}),
        ("a", None),
        ("a:", None),
    ],
)
def test_the_regions_of_zones_are_read_from_the_settings(
    text: str, found: dict[str, str] | None
) -> None:
    assert gateway_options._regions(text) == found
