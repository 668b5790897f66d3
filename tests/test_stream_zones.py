"""Tests the zone that a daemon chooses for a paced stream."""

import collections
from collections.abc import Iterable
import random

import pytest

from figstream import backend_server
from figstream import errors
from figstream import gateway_options
from figstream import scheduler_api
from figstream import server_load
from figstream import stream_zones
from tests import paced_fleet

_PRICE = stream_zones.LeavingPrice(latency_s=0.002, megabyte_s=1.0)
_SETTINGS = """[vm]
name = entry-a
zone = a
region = home
address = 10.0.0.1
[gateway]
front = 10.0.0.1:8080
readiness = 10.0.0.1:8081
[peers]
peers = 10.0.0.1:8082
[platform]
store = 10.0.0.2:80
duties = 10.0.0.3:80
[zones]
"""


class _Daemon:
    """The choice of zones of a daemon in zone a."""

    def __init__(self, price: stream_zones.LeavingPrice = _PRICE) -> None:
        self.book = server_load.LoadBook()
        self.now = 10.0
        self.zones = stream_zones.StreamZones(
            "a", self.book, price, random.Random(1)
        )

    def report(self, zone: str, load: int) -> None:
        """Reports a load for each server of a zone."""
        for item in paced_fleet.servers(zone, 4):
            self.book.report(
                scheduler_api.ServerLoad(item.name, load, 0, self.now)
            )

    def zones_used(
        self,
        servers: Iterable[backend_server.BackendServer],
        streams: int = 200,
    ) -> collections.Counter[str]:
        """Returns how many streams of the next seconds go to each zone."""
        request = scheduler_api.PendingRequest(
            "r",
            "c",
            paced_fleet.CHAT,
            self.now,
            self.now + 15.0,
            service=paced_fleet.SERVICE,
            body_bytes=700,
            max_output_tokens=300,
        )
        candidates = list(servers)
        used: collections.Counter[str] = collections.Counter()
        for _ in range(streams):
            self.now += 0.1
            chosen = self.zones.choose(request, candidates, self.now)
            assert len({item.zone for item in chosen}) == 1
            used[chosen[0].zone] += 1
        return used


def test_streams_stay_in_a_zone_that_has_its_servers() -> None:
    daemon = _Daemon()
    assert daemon.zones_used(paced_fleet.servers(each=4)) == {"a": 200}


def test_streams_leave_a_zone_that_lost_its_servers() -> None:
    """Three quarters of the capacity of the mean are missing."""
    daemon = _Daemon()
    servers = [
        *paced_fleet.servers("a", 1),
        *paced_fleet.servers("bcd", 4),
    ]
    used = daemon.zones_used(servers)
    assert used["a"] < 90
    assert min(used[zone] for zone in "bcd") > 20


def test_all_streams_leave_a_zone_without_servers() -> None:
    daemon = _Daemon()
    assert "a" not in daemon.zones_used(paced_fleet.servers("bcd", 4))


def test_streams_leave_a_busy_zone_in_steps() -> None:
    """The delay at home is 0.3 s longer: 0.015 leaves in each half second."""
    daemon = _Daemon()
    servers = paced_fleet.servers(each=4)
    shares = []
    for _ in range(2):
        daemon.report("a", 40)
        for zone in "bcd":
            daemon.report(zone, 4)
        # 9 s; reports count for 10 s.
        shares.append(daemon.zones_used(servers, streams=90)["a"] / 90)
    assert 0.7 < shares[0] < 1.0
    assert shares[1] < shares[0]


def test_a_price_of_the_bytes_keeps_streams_in_their_zone() -> None:
    """4 KB at 100 s for each megabyte are worth 0.4 s, more than the wait."""
    daemon = _Daemon(stream_zones.LeavingPrice(0.002, 100.0))
    servers = paced_fleet.servers(each=4)
    daemon.report("a", 40)
    for zone in "bcd":
        daemon.report(zone, 4)
    assert daemon.zones_used(servers) == {"a": 200}


def test_settings_say_whether_leaving_is_weighed() -> None:
    assert gateway_options.parse(_SETTINGS).leaving is None
    weighed = gateway_options.parse(
        _SETTINGS + "leaves_zone = if_it_pays\nzone_latency_ms = 5\n"
    )
    assert weighed.leaving == stream_zones.LeavingPrice(0.005, 1.0)


def test_an_unknown_rule_for_leaving_names_those_allowed() -> None:
    with pytest.raises(errors.SettingsError) as raised:
        gateway_options.parse(_SETTINGS + "leaves_zone = never\n")
    assert "freely or if_it_pays" in str(raised.value.faults)
