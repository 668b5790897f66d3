"""Tests of where requests are placed."""

import collections
import random

from figstream import backend_server
from figstream import configuration as configuration_lib
from figstream import placement
from figstream import request_class
from figstream import request_target
from figstream import scheduler_api
from figstream import server_load
from figstream import server_pool

_CLASS = request_class.RequestClass("k")


class _World:
    def __init__(self, seed: int, zones: str = "abc", each: int = 5) -> None:
        self.book = server_load.LoadBook()
        self.placement = placement.PrefixPlacement(
            self.book, "a", random.Random(seed)
        )
        servers = tuple(
            backend_server.BackendServer(
                f"{zone}{number}", "http://10.0.0.1:1", zone, service="s"
            )
            for zone in zones
            for number in range(each)
        )
        index = server_pool.PoolIndex("a")
        index.set_configuration(
            configuration_lib.Configuration(servers=servers)
        )
        self.pool = index.pool(request_target.Target(service="s"), _CLASS)

    def choose(self, shared: int = 0, first: int = 0, **more: object) -> str:
        request = scheduler_api.PendingRequest(
            "r",
            "c",
            _CLASS,
            0.0,
            9.0,
            service="s",
            prefix=shared,
            first_part=first,
            shared_tokens=6000 if shared else 0,
            first_part_tokens=2500 if shared else 0,
            **more,  # type: ignore[arg-type]
        )
        found = self.placement.choose(request, self.pool, False, 100.0)
        assert found
        return found.server.name

    def fail(self, *names: str) -> None:
        for name in names:
            self.book.dispatched(name, 100.0)
            failed = scheduler_api.AttemptResult.FAILED
            self.book.finished(name, failed, 100.0)


def test_daemons_agree_on_the_server_of_a_shared_prompt() -> None:
    places = [_World(seed) for seed in range(9)]
    for shared in range(1, 40):
        assert len({x.choose(shared, shared % 4 + 1) for x in places}) == 1


def test_prompts_with_the_same_first_part_share_a_third_of_the_servers() -> (
    None
):
    """Breaks when all servers are home to each first part."""
    world = _World(1)
    used = {world.choose(shared, 7) for shared in range(1, 300)}
    assert len(used) == 5


def test_a_busy_home_is_left_when_waiting_costs_more_than_reading() -> None:
    world = _World(1)
    home = world.choose(9, 7)
    for _ in range(40):
        world.book.dispatched(home, 99.0)
    assert world.choose(9, 7) != home


def test_requests_without_a_prompt_spread_and_prefer_their_zone() -> None:
    world = _World(1)
    counts = collections.Counter(world.choose() for _ in range(200))
    assert {name[0] for name in counts} == {"a"}
    assert len(counts) == 5


def test_a_zone_of_which_two_servers_fail_is_avoided_whole() -> None:
    """Breaks when each server of a cut zone must fail on its own."""
    world = _World(1)
    world.fail("b0", "b1")
    used = {world.choose(shared, shared) for shared in range(1, 200)}
    assert not any(name.startswith("b") for name in used)


def test_failures_of_the_own_zone_do_not_close_it() -> None:
    world = _World(1)
    world.fail("a0", "a1")
    used = {world.choose(shared, shared) for shared in range(1, 200)}
    assert used >= {"a2", "a3", "a4"}
    assert not used & {"a0", "a1"}


def test_with_every_server_paused_one_is_tried() -> None:
    world = _World(1, "a", 2)
    world.fail("a0", "a1")
    assert world.choose() in {"a0", "a1"}
