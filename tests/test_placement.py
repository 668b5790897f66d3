"""Tests of server selection by prompt prefix, load and kind of work."""

import collections
from collections.abc import Iterable
import random
from typing import Any

from figstream import backend_server
from figstream import configuration as configuration_lib
from figstream import placement
from figstream import request_class
from figstream import request_target
from figstream import scheduler_api
from figstream import server_load
from figstream import server_pool
from figstream import server_selection

_CLASS = request_class.RequestClass("k")
_LONG_TEXT: dict[str, Any] = {
    "request_class": request_class.RequestClass("chat"),
    "prompt_tokens": 600,
    "max_output_tokens": 300,
}
_LONG_PROMPT: dict[str, Any] = {
    "request_class": request_class.RequestClass("summary"),
    "prompt_tokens": 3000,
    "max_output_tokens": 50,
}


class _World:
    def __init__(self, seed: int, zones: str = "abc", each: int = 5) -> None:
        self.book = server_load.LoadBook()
        self.now = 100.0
        self.placement = placement.PrefixPlacement(
            self.book, "a", random.Random(seed)
        )
        self.take(f"{zone}{n}" for zone in zones for n in range(each))

    def take(self, names: Iterable[str]) -> None:
        """Sets the servers of the pool; the first letter is the zone."""
        servers = tuple(
            backend_server.BackendServer(
                name, "http://10.0.0.1:1", name[0], service="s"
            )
            for name in names
        )
        index = server_pool.PoolIndex("a")
        index.set_configuration(
            configuration_lib.Configuration(servers=servers)
        )
        self.pool = index.pool(request_target.Target(service="s"), _CLASS)

    def choose(self, shared: int = 0, first: int = 0, **more: object) -> str:
        return self.choice(shared, first, **more).server.name

    def choice(
        self, shared: int = 0, first: int = 0, **more: object
    ) -> server_selection.Choice:
        fields: dict[str, object] = {
            "request_class": _CLASS,
            "service": "s",
            "prefix": shared,
            "first_part": first,
            "shared_tokens": 6000 if shared else 0,
            "first_part_tokens": 2500 if shared else 0,
        }
        request = scheduler_api.PendingRequest(
            "r",
            "c",
            arrived=0.0,
            deadline=9.0,
            **(fields | more),  # type: ignore[arg-type]
        )
        found = self.placement.choose(request, self.pool, False, self.now)
        assert found
        return found

    def generate(self) -> str:
        """Places a request for a long answer to a short prompt."""
        return self.choose(**_LONG_TEXT)

    def read(self) -> str:
        """Places a request for a short answer to a long prompt."""
        return self.choose(**_LONG_PROMPT)

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
    """Fails if each first prefix block is assigned to all servers."""
    world = _World(1)
    chosen = [(x % 50, world.choose(x, x % 50 + 1)) for x in range(1, 2_000)]
    for first in range(50):
        used = {name for part, name in chosen if part == first}
        assert 2 <= len(used) <= 5


def test_a_first_part_of_many_requests_is_kept_everywhere() -> None:
    """Fails if four hot prefix blocks leave a fifth of the servers idle."""
    world = _World(1)
    for shared in range(1, 101):
        world.choose(shared, shared % 4 + 1)
    used = {world.choose(x, x % 4 + 1) for x in range(101, 600)}
    assert len(used) == 15


def test_a_queue_at_few_slots_costs_more_than_one_at_many() -> None:
    """Fails if a request queues at its assigned server beside free slots."""
    world = _World(1)
    world.take(f"{zone}{n}" for zone in "abc" for n in range(4))
    home = world.choose(9, 7)
    slots = world.pool.groups[0].servers[0].slots
    for _ in range(slots + 6):
        world.book.dispatched(home, world.now)
    others = [x for x in sorted(world.pool.names) if x != home]
    for name in others:
        for _ in range(slots - 3):
            world.book.dispatched(name, world.now)
    assert world.choose(9, 7) != home


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
    """Fails if each server of a partitioned zone must fail on its own."""
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


def test_a_server_that_joined_copies_from_the_home_before() -> None:
    """Fails if a newly assigned server does not copy the cached prefix."""
    world = _World(1)
    world.choose(1, 7)
    world.now += 60.0
    homes = {x: world.choose(x, x % 40 + 1) for x in range(1, 160)}
    settled = (world.choice(x, x % 40 + 1) for x in homes)
    assert not any(choice.prompt_source for choice in settled)
    world.take([*world.pool.names, "c5", "c6", "c7"])
    moved = 0
    for shared, home in homes.items():
        choice = world.choice(shared, shared % 40 + 1)
        if choice.server.name in {"c5", "c6", "c7"}:
            moved += 1
            assert choice.prompt_source
            assert choice.prompt_source.name == home
    assert moved
    world.now += 60.0
    settled = (world.choice(x, x % 40 + 1) for x in homes)
    assert not any(choice.prompt_source for choice in settled)


def test_a_request_that_leaves_its_busy_home_copies_from_there() -> None:
    world = _World(1)
    world.choose(9, 7)
    world.now += 60.0
    home = world.choose(9, 7)
    for _ in range(40):
        world.book.dispatched(home, world.now)
    choice = world.choice(9, 7)
    assert choice.server.name != home
    assert choice.prompt_source
    assert choice.prompt_source.name == home


def test_nothing_is_copied_from_a_server_that_fails() -> None:
    world = _World(1)
    world.choose(9, 7)
    world.now += 60.0
    home = world.choose(9, 7)
    world.book.dispatched(home, world.now)
    failed = scheduler_api.AttemptResult.FAILED
    world.book.finished(home, failed, world.now)
    assert world.choice(9, 7).prompt_source is None


def test_long_texts_and_long_prompts_get_servers_of_their_own() -> None:
    """Fails if long answers and long prompts share a server."""
    worlds = [_World(seed) for seed in range(4)]
    for world in worlds:
        for _ in range(40):
            world.generate()
            world.read()
    texts = {x.generate() for x in worlds for _ in range(200)}
    prompts = {x.read() for x in worlds for _ in range(200)}
    assert not texts & prompts
    assert texts
    assert prompts


def test_few_servers_are_not_split() -> None:
    world = _World(1, "a", 5)
    for _ in range(40):
        world.generate()
        world.read()
    assert len({world.generate() for _ in range(200)}) == 5


def test_one_kind_of_work_gets_all_servers() -> None:
    world = _World(1, "a", 9)
    used = {world.read() for _ in range(300)}
    assert len(used) == 9


def test_work_goes_to_the_other_side_when_its_own_is_lost() -> None:
    world = _World(1, "a", 12)
    for _ in range(40):
        world.generate()
        world.read()
    own = {world.generate() for _ in range(200)}
    for name in own:
        world.fail(name)
    assert world.generate() not in own
