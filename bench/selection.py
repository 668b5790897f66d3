"""Compares strategies for sharing backend servers among daemons.

Every strategy runs under the same scheduler, so that only the choice of
servers and the number of slots that a daemon may fill differ.
"""

from collections.abc import Sequence
import functools
import random
import sys
from typing import Final

import attrs

from bench import fleet as fleet_lib
from bench import measures
from bench import scenarios
from bench import traffic
from figstream import allotment
from figstream import configuration as configuration_lib
from figstream import scheduler
from figstream import scheduler_api
from figstream import server_load
from figstream import server_pool
from figstream import server_selection
from figstream import slot_plan

_SEEDS: Final = (21, 22)
_DIVIDE_INTERVAL_S: Final = 1.0
_DIVIDE_DELAY_S: Final = 0.05
_ALLOTMENT_S: Final = 3.0
_BIG_ZONE_DAEMONS: Final = 16
_BIG_SERVERS: Final = 36


class NaiveSelection:
    """Chooses a random server, or the one with the least reported load."""

    def __init__(
        self, book: server_load.LoadBook, seed: int, by_report: bool
    ) -> None:
        """Initializes the selection.

        Args:
          book: loads of the servers.
          seed: seed of the random choice.
          by_report: whether to choose servers by load report, not at random.
        """
        self._book = book
        self._random = random.Random(seed)
        self._by_report = by_report

    def set_configuration(
        self, configuration: configuration_lib.Configuration
    ) -> None:
        """Does nothing; pools hold all that this selection needs."""

    def answered(
        self,
        request: scheduler_api.PendingRequest,
        report: scheduler_api.AttemptReport,
    ) -> None:
        """Does nothing; the load book holds all that it needs."""

    def choose(
        self,
        request: scheduler_api.PendingRequest,
        pool: server_pool.ServerPool,
        urgent: bool,
        now: float,
    ) -> server_selection.Choice | None:
        """Returns a server where this daemon has a slot free, or None."""
        candidates = [
            item
            for group in pool.groups
            for item in group.servers
            if self._book.state(item.name).own_requests < item.slots
            and item.name not in request.tried
        ]
        if not candidates:
            return None
        if not self._by_report:
            return server_selection.Choice(
                self._random.choice(candidates), "random"
            )
        least = min(
            candidates,
            key=lambda item: self._book.state(item.name).other_requests,
        )
        return server_selection.Choice(least, "report")

    def slots(self, pool: server_pool.ServerPool, now: float) -> float:
        """Returns all slots, as if there were no other daemon."""
        return float(sum(group.slots for group in pool.groups))


class SharingStrategy:
    """One strategy; creates the schedulers of a fleet and divides slots."""

    def __init__(self, name: str) -> None:
        """Initializes the strategy of this name, one of `STRATEGIES`."""
        self.name = name
        self._plans: list[slot_plan.AllottedShares] = []

    def make(self, zone: str, seed: int) -> scheduler_api.Scheduler:
        """Creates a daemon's scheduler."""
        if self.name == "b allotment":
            allotted = slot_plan.AllottedShares()
            self._plans.append(allotted)
            return scheduler.make_scheduler(zone, seed, allotted)
        if self.name.startswith("c subset"):
            slots = int(self.name.rpartition(" ")[2])
            subset = slot_plan.SubsetShares(f"d{seed}", slots)
            return scheduler.make_scheduler(zone, seed, subset)
        if self.name == "a all servers":
            plan = slot_plan.EqualShares()
            return scheduler.make_scheduler(zone, seed, plan)
        by_report = self.name == "least by report"
        return scheduler.make_scheduler_with(
            zone, lambda book, _: NaiveSelection(book, seed, by_report)
        )

    def start_division(self, fleet: fleet_lib.Fleet) -> None:
        """Schedules the periodic division of slots among a fleet's daemons.

        Only the allotment strategy divides slots.
        """
        plans, self._plans = self._plans, []
        if plans:
            fleet.time.every(
                _DIVIDE_INTERVAL_S, functools.partial(_divide, fleet, plans)
            )


def _divide(
    fleet: fleet_lib.Fleet, plans: Sequence[slot_plan.AllottedShares]
) -> None:
    down = {name for name, item in fleet.engines.items() if not item.alive}
    for zone in set(fleet.settings.zones):
        servers = [
            item
            for item in fleet.settings.servers
            if item.zone == zone and item.name not in down
        ]
        members = {
            str(number): daemon
            for number, daemon in enumerate(fleet.daemons)
            if daemon.zone == zone
        }
        demands = [
            demand for item in members.values() for demand in item.demands()
        ]
        total = sum(item.slots for item in servers)
        shares = allotment.divide_slots(list(members), demands, total)
        expires = fleet.time.now + _ALLOTMENT_S
        for name, slots in allotment.divide_servers(servers, shares).items():
            allotted = allotment.Allotment(expires, slots)
            fleet.time.after(
                _DIVIDE_DELAY_S,
                functools.partial(plans[int(name)].set_allotment, allotted),
            )


STRATEGIES: Final = (
    "random",
    "least by report",
    "a all servers",
    "b allotment",
    "c subset, 2",
    "c subset, 4",
    "c subset, 8",
)


def _partition_zones(fleet: fleet_lib.Fleet) -> None:
    fleet.time.at(
        30.0, functools.partial(setattr, fleet, "is_partitioned", True)
    )
    fleet.time.at(
        60.0, functools.partial(setattr, fleet, "is_partitioned", False)
    )


def _big_zone() -> scenarios.Scenario:
    factor = _BIG_SERVERS / 8.0
    servers = tuple(
        fleet_lib.make_engine_server(f"a{number}", "a")
        for number in range(_BIG_SERVERS)
    )
    rates = {
        name: traffic.steady(rate * factor)
        for name, rate in scenarios.RATES.items()
    }
    caption = scenarios.RATES["caption"] * factor
    rates["caption"] = traffic.burst(caption, 4.0, 10.0, 25.0)
    settings = fleet_lib.FleetSettings(
        servers, ("a",) * _BIG_ZONE_DAEMONS, duration_s=40.0
    )
    return scenarios.Scenario(
        "16 daemons, 36 engines, captions at 4x their rate",
        settings,
        scenarios.streams(rates),
    )


def _selected_scenarios() -> Sequence[scenarios.Scenario]:
    words = ("caption bursts", "4x latency", "reclaimable", "reports missing")
    known = scenarios.scenarios()
    found = [item for item in known if any(word in item.name for word in words)]
    partitioned = attrs.evolve(
        known[0],
        name="the zones cut off from each other for 30 s",
        settings=attrs.evolve(known[0].settings, faults=_partition_zones),
    )
    return [*found, partitioned, _big_zone()]


def main(wanted: Sequence[str] = ()) -> None:
    """Prints one table for each scenario.

    Args:
      wanted: words, of which the name of a printed scenario contains one; all
        scenarios if empty.
    """
    for scenario in _selected_scenarios():
        if wanted and not any(word in scenario.name for word in wanted):
            continue
        print(f"\n{scenario.name}\n{scenarios.format_header()}")
        for name in STRATEGIES:
            strategy = SharingStrategy(name)
            fleets = [
                scenarios.run(
                    scenario, strategy.make, seed, strategy.start_division
                )
                for seed in _SEEDS
            ]
            print(scenarios.format_row(name, measures.measure(fleets)))


if __name__ == "__main__":
    main(sys.argv[1:])
