"""Tests of the decision whether a daemon reaches servers itself."""

import random

import pytest

from figstream import backend_server
from figstream import clock as clock_lib
from figstream import metrics
from figstream import server_paths

_SERVERS = 9


class _Paths:
    def __init__(self) -> None:
        self.clock = clock_lib.ManualClock(100.0)
        self.paths = server_paths.ServerPaths(
            self.clock, metrics.make_unexported_metrics()
        )

    def suspected(self, servers: int = _SERVERS) -> bool:
        return self.paths.suspected(servers)


def test_a_path_is_not_suspected_without_failures() -> None:
    found = _Paths()
    assert not found.suspected()
    found.clock.advance(60.0)
    assert not found.suspected()
    assert not found.suspected(0)


def test_failures_at_one_server_are_those_of_the_server() -> None:
    found = _Paths()
    for _ in range(20):
        found.paths.failed("i-1")
    assert not found.suspected()
    found.paths.failed("i-2")
    assert found.suspected()


def test_a_single_server_is_enough_if_there_is_no_other() -> None:
    found = _Paths()
    found.paths.failed("i-1")
    assert found.suspected(1)


def test_an_opened_connection_ends_the_suspicion() -> None:
    found = _Paths()
    found.paths.failed("i-1")
    found.paths.failed("i-2")
    found.paths.opened("i-3")
    assert not found.suspected()


def test_failures_are_forgotten() -> None:
    found = _Paths()
    found.paths.failed("i-1")
    found.clock.advance(2.5)
    found.paths.failed("i-2")
    assert not found.suspected()


def test_silence_of_all_servers_is_suspected() -> None:
    """Fails if connections that hang are noticed only when they break."""
    found = _Paths()
    with found.paths.awaiting("i-1"), found.paths.awaiting("i-2"):
        found.clock.advance(0.4)
        assert not found.suspected()
        found.clock.advance(0.2)
        assert found.suspected()
    assert not found.suspected()


def test_an_answer_of_any_server_ends_the_silence() -> None:
    found = _Paths()
    with found.paths.awaiting("i-1"), found.paths.awaiting("i-2"):
        found.clock.advance(0.6)
        with found.paths.awaiting("i-3"):
            pass
        assert not found.suspected()


def test_a_wait_that_fails_is_no_answer() -> None:
    found = _Paths()
    with found.paths.awaiting("i-1"), found.paths.awaiting("i-2"):
        found.clock.advance(0.6)
        with pytest.raises(ConnectionResetError), found.paths.awaiting("i-3"):
            raise ConnectionResetError
        assert found.suspected()


def test_a_lost_path_is_regained() -> None:
    found = _Paths()
    found.paths.failed("i-1")
    found.paths.failed("i-2")
    found.paths.mark_lost(["i-3"])
    assert not found.paths.direct
    found.paths.mark_regained("i-3")
    assert found.paths.direct
    assert not found.suspected()


def test_probed_servers_are_in_and_outside_the_zone() -> None:
    """Fails if a partition between zones may look like one from all servers."""
    servers = [
        backend_server.BackendServer(f"i-{number}", "", f"zone-{number % 3}")
        for number in range(9)
    ]
    for seed in range(50):
        chosen = server_paths.choose_probed(
            servers, "zone-1", random.Random(seed)
        )
        assert len({item.name for item in chosen}) == 3
        assert "zone-1" in {item.zone for item in chosen}
    assert not server_paths.choose_probed([], "zone-1", random.Random(1))
    assert len(server_paths.choose_probed(servers[:2], "", random.Random(1)))
