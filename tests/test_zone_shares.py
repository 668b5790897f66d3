"""Tests how much work leaves its zone, and that many daemons act alike.

The fleet of these tests is a fluid: each zone's callers send a steady load,
daemons divide it by their shares, and the delay of a zone follows from its load
over its capacity. Daemons see delays that are a second old.
"""

from collections.abc import Mapping
import itertools

import hypothesis
from hypothesis import strategies
import pytest

from figstream import zone_shares

_TOLERANCE_S = 1.0
_COST = zone_shares.LeavingCost(latency_s=0.003, price_s=0.01)
_STEP_S = 0.25
_NEWS_AGE_STEPS = 4
# Delay of a request beside no others.
_BASE_S = 0.05
_WORST_S = 5.0
# A zone may be loaded this much above the mean of the zones in use.
_MOST_OVER_MEAN = 1.25


class _Fleet:
    """Zones with capacity and demand, and daemons that share the demand."""

    def __init__(
        self,
        capacity: Mapping[str, float],
        demand: Mapping[str, float],
        daemons: int = 1,
        cost: zone_shares.LeavingCost = _COST,
    ) -> None:
        self.capacity = dict(capacity)
        self.demand = dict(demand)
        self._cost = cost
        self._daemons = {
            zone: [zone_shares.ZoneShares(zone) for _ in range(daemons)]
            for zone in demand
        }
        self._news = [dict.fromkeys(capacity, _BASE_S)] * _NEWS_AGE_STEPS
        self._now = 100.0
        self.load: dict[str, float] = {}

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds / _STEP_S)):
            self._now += _STEP_S
            self._step()

    def own_share(self, zone: str) -> float:
        return self._shares(self._daemons[zone][0]).get(zone, 0.0)

    def worst_delay_s(self) -> float:
        return max(self._delays().values())

    def _step(self) -> None:
        self.load = dict.fromkeys(self.capacity, 0.0)
        for zone, daemons in self._daemons.items():
            part = self.demand[zone] / len(daemons)
            for shares in daemons:
                for target, share in self._shares(shares).items():
                    self.load[target] += part * share
        self._news = [*self._news[1:], self._delays()]

    def _shares(self, shares: zone_shares.ZoneShares) -> Mapping[str, float]:
        states = [
            zone_shares.ZoneState(zone, capacity, self._news[0][zone])
            for zone, capacity in self.capacity.items()
        ]
        return shares.shares("k", states, self._cost, _TOLERANCE_S, self._now)

    def _delays(self) -> dict[str, float]:
        return {
            zone: min(
                _WORST_S,
                _BASE_S
                / max(1.0 - self.load.get(zone, 0.0) / max(size, 1e-9), 0.01),
            )
            for zone, size in self.capacity.items()
        }


def _alike(value: float, zones: str = "abcd") -> dict[str, float]:
    return dict.fromkeys(zones, value)


def test_work_stays_while_the_zone_serves_it() -> None:
    fleet = _Fleet(_alike(10.0), _alike(6.0))
    fleet.run(30.0)

    assert all(fleet.own_share(zone) == 1.0 for zone in "abcd")


def test_a_zone_with_a_third_of_its_servers_sends_the_rest_at_once() -> None:
    fleet = _Fleet(_alike(10.0), _alike(6.0))
    fleet.run(10.0)
    fleet.capacity["a"] = 2.0
    fleet.run(_STEP_S)

    # Less than a zone may keep that has a quarter of the mean capacity.
    assert fleet.own_share("a") <= 0.25
    fleet.run(10.0)
    assert fleet.worst_delay_s() < _TOLERANCE_S


def test_work_returns_when_the_zone_is_back() -> None:
    fleet = _Fleet({**_alike(10.0), "a": 0.5}, _alike(5.0))
    fleet.run(10.0)
    before = fleet.own_share("a")
    fleet.capacity["a"] = 10.0
    fleet.run(15.0)

    assert before <= 0.1
    assert fleet.own_share("a") == pytest.approx(1.0, abs=0.05)


def test_a_burst_in_one_zone_leaves_within_seconds() -> None:
    fleet = _Fleet(_alike(10.0), _alike(4.0), daemons=20)
    fleet.run(10.0)
    fleet.demand["a"] = 14.0
    fleet.run(8.0)

    assert fleet.own_share("a") < 0.75
    assert fleet.worst_delay_s() < _TOLERANCE_S


def test_work_does_not_leave_for_zones_that_are_full_too() -> None:
    fleet = _Fleet(_alike(10.0), _alike(9.5), daemons=20)
    fleet.run(20.0)

    assert all(fleet.own_share(zone) > 0.9 for zone in "abcd")


def test_work_stays_if_leaving_costs_more_than_waiting() -> None:
    dear = zone_shares.LeavingCost(latency_s=0.06, price_s=2.0)
    fleet = _Fleet(_alike(10.0), {**_alike(4.0), "a": 9.6}, cost=dear)
    fleet.run(20.0)

    assert fleet.own_share("a") == 1.0


def test_eighty_daemons_that_hear_of_free_room_do_not_all_go_there() -> None:
    fleet = _Fleet(
        {**_alike(10.0), "d": 0.0}, {**_alike(7.0), "d": 7.0}, daemons=20
    )
    fleet.run(10.0)
    fleet.capacity["d"] = 10.0
    busiest = 0.0
    for _ in range(80):
        fleet.run(_STEP_S)
        mean = sum(fleet.load.values()) / 4
        busiest = max(busiest, fleet.load["d"] / mean)

    assert busiest <= _MOST_OVER_MEAN
    assert fleet.worst_delay_s() < _TOLERANCE_S


@hypothesis.given(
    strategies.lists(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0.0, 100.0), strategies.floats(0.0, 10.0)
            ),
            min_size=3,
            max_size=3,
        ),
        min_size=1,
        max_size=20,
    )
)
def test_shares_add_up_and_use_only_zones_with_servers(
    history: list[list[tuple[float, float]]],
) -> None:
    shares = zone_shares.ZoneShares("a")
    for at, known in zip(itertools.count(0.0, 0.3), history, strict=False):
        states = [
            zone_shares.ZoneState(zone, capacity, delay_s)
            for zone, (capacity, delay_s) in zip("abc", known, strict=True)
        ]
        found = shares.shares("k", states, _COST, _TOLERANCE_S, at)
        usable = {item.zone for item in states if item.capacity >= 1e-3}
        assert set(found) <= usable
        assert sum(found.values()) == pytest.approx(1.0 if usable else 0.0)
