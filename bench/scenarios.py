"""Compares our scheduler with naive ones under load and faults.

The scenarios have bursts, stragglers, lost servers and reports, and customers
that flood the fleet. The benchmark prints one table for each scenario and
below the table the targets that our scheduler missed. The targets are printed
after the last table.
"""

from collections.abc import Callable
from collections.abc import Sequence
import sys
from typing import Final

import attrs

from bench import fleet as fleet_lib
from bench import measures
from bench import naive_scheduler
from bench import traffic
from figstream import backend_server
from figstream import scheduler
from figstream import scheduler_api

_SEEDS: Final = (11, 12, 13)
_ZONES: Final = ("a", "a", "a", "b", "b", "b")
_CUSTOMERS: Final = tuple(f"c{number}" for number in range(8))
_CRASHER: Final = ("crasher",)
RATES: Final = {
    "chat": 8.0,
    "status": 6.0,
    "caption": 8.0,
    "listing": 6.0,
    "rewrite": 6.0,
}
TARGETS: Final = (
    "targets: chat >= 0.99 where the top tier alone fits; wasted < 0.05; "
    "worst >= 0.9; inversions 0; gap <= 10 s; goodput >= both naive ones"
)

SchedulerFactory = Callable[[str, int], scheduler_api.Scheduler]


@attrs.frozen
class Scenario:
    """A fleet with its faults, and the traffic sent to it."""

    name: str
    settings: fleet_lib.FleetSettings
    streams: Sequence[traffic.Stream]
    top_tier_fits: bool = True


def naive_random(zone: str, seed: int) -> scheduler_api.Scheduler:
    """Creates the naive scheduler that chooses at random."""
    return naive_scheduler.NaiveScheduler(seed, by_report=False)


def naive_least_loaded(zone: str, seed: int) -> scheduler_api.Scheduler:
    """Creates the naive scheduler that chooses by load report."""
    return naive_scheduler.NaiveScheduler(seed, by_report=True)


SCHEDULERS: Final[dict[str, SchedulerFactory]] = {
    "naive random": naive_random,
    "naive least": naive_least_loaded,
    "figstream": scheduler.make_scheduler,
}


def make_servers() -> tuple[backend_server.BackendServer, ...]:
    """Creates three permanent engines and a reclaimable one in each zone."""
    return tuple(
        fleet_lib.make_engine_server(
            f"{zone}{number}", zone, reclaimable=number == 3
        )
        for zone in "ab"
        for number in range(4)
    )


def streams(
    factors: dict[str, Callable[[float], float]] | None = None,
    customers: Sequence[str] = _CUSTOMERS,
) -> list[traffic.Stream]:
    """Creates the usual traffic; `factors` replaces the rates of classes."""
    rates = factors or {}
    return [
        traffic.Stream(
            item,
            rates.get(item.name, traffic.steady(RATES[item.name])),
            customers,
        )
        for item in traffic.CLASSES
    ]


def scenarios() -> Sequence[Scenario]:
    """Returns all scenarios."""
    servers = make_servers()
    usual = fleet_lib.FleetSettings(servers, _ZONES)
    burst = traffic.burst(RATES["caption"], 15.0, 30.0, 60.0)
    top_burst = traffic.burst(RATES["chat"], 15.0, 30.0, 60.0)
    flood = [
        *streams(),
        traffic.Stream(
            traffic.CLASSES[2], traffic.steady(20.0), _CUSTOMERS[:1]
        ),
    ]
    crasher = [
        *streams(),
        traffic.Stream(
            traffic.CLASSES[2],
            traffic.steady(0.5),
            _CRASHER,
            crashes=True,
        ),
    ]
    return (
        Scenario("steady load", usual, streams()),
        Scenario(
            "caption bursts to 3x capacity", usual, streams({"caption": burst})
        ),
        Scenario(
            "chat bursts to 3x capacity",
            usual,
            streams({"chat": top_burst}),
            top_tier_fits=False,
        ),
        Scenario(
            "one engine at 4x latency, reports 5 s late",
            attrs.evolve(usual, report_lag_s=5.0, faults=_straggle),
            streams(),
        ),
        Scenario(
            "a zone's reclaimable engines go during a burst",
            attrs.evolve(usual, faults=_reclaim),
            streams({"listing": traffic.burst(6.0, 5.0, 30.0, 60.0)}),
        ),
        Scenario("one customer sends 20x its share", usual, flood),
        Scenario("a crashing request sent again and again", usual, crasher),
        Scenario(
            "load reports missing",
            attrs.evolve(usual, report_loss=1.0),
            streams({"caption": traffic.burst(8.0, 3.0, 30.0, 60.0)}),
        ),
    )


def _straggle(fleet: fleet_lib.Fleet) -> None:
    fleet.time.at(20.0, lambda: fleet.engines["a0"].set_slowness(4.0))


def _reclaim(fleet: fleet_lib.Fleet) -> None:
    def notice() -> None:
        for daemon in fleet.daemons:
            daemon.scheduler.set_leaving(frozenset({"a3"}))

    fleet.time.at(38.0, notice)
    fleet.time.at(40.0, lambda: fleet.engines["a3"].crash(None))


def run_all(
    scenario: Scenario, factory: SchedulerFactory, seeds: Sequence[int]
) -> Sequence[fleet_lib.Fleet]:
    """Runs one scenario once for each seed."""
    return [run(scenario, factory, seed) for seed in seeds]


def run(
    scenario: Scenario,
    factory: SchedulerFactory,
    seed: int,
    before_run: Callable[[fleet_lib.Fleet], None] | None = None,
) -> fleet_lib.Fleet:
    """Runs one scenario with one scheduler.

    Args:
      scenario: the scenario.
      factory: creates the scheduler of each daemon.
      seed: seed of the traffic and of the schedulers.
      before_run: called with the fleet before the run.
    """
    duration = scenario.settings.duration_s
    arrivals = traffic.arrivals(scenario.streams, duration, seed)
    uses_blame = factory not in (naive_random, naive_least_loaded)
    fleet = fleet_lib.Fleet(
        scenario.settings, arrivals, factory, uses_blame, seed
    )
    if before_run:
        before_run(fleet)
    fleet.run()
    return fleet


def format_row(name: str, found: measures.Measures) -> str:
    """Formats one row of a table."""
    attained = " ".join(f"{item:7.3f}" for item in found.attainment.values())
    return (
        f"{name:15s} {attained} {found.goodput:8.0f} {found.answered:8.2f} "
        f"{found.wasted:7.3f} {found.worst:6.2f} {found.cost:6.3f} "
        f"{found.inversions:6d} {found.longest_gap_s:6.1f}"
    )


def format_header() -> str:
    """Returns the header of a table."""
    names = " ".join(f"{item.name:>7s}" for item in traffic.CLASSES)
    return (
        f"{'':15s} {names} {'goodput':>8s} {'answer/s':>8s} {'wasted':>7s} "
        f"{'worst':>6s} {'cost':>6s} {'invers':>6s} {'gap s':>6s}"
    )


def missed_targets(
    scenario: Scenario,
    found: measures.Measures,
    naive: Sequence[measures.Measures],
) -> list[str]:
    """Returns the names of the targets that a run misses."""
    checks = {
        "chat": not scenario.top_tier_fits or found.attainment["chat"] >= 0.99,
        "wasted": found.wasted < 0.05,
        "worst": found.worst >= 0.9,
        "inversions": found.inversions == 0,
        "gap": found.longest_gap_s <= 10.0,
        "goodput": all(found.goodput >= item.goodput for item in naive),
    }
    return [name for name, holds in checks.items() if not holds]


def main(arguments: Sequence[str] = ()) -> None:
    """Prints the tables.

    Args:
      arguments: numbers are seeds to use; other words select the scenarios
        whose name contains one of them.
    """
    seeds = [int(word) for word in arguments if word.isdigit()] or _SEEDS
    wanted = [word for word in arguments if not word.isdigit()]
    for scenario in scenarios():
        if wanted and not any(word in scenario.name for word in wanted):
            continue
        print(f"\n{scenario.name}\n{format_header()}")
        found = {
            name: measures.measure(run_all(scenario, factory, seeds))
            for name, factory in SCHEDULERS.items()
        }
        for name, figures in found.items():
            print(format_row(name, figures))
        *naive, ours = found.values()
        short = missed_targets(scenario, ours, naive)
        print(f"  missed targets: {', '.join(short) if short else 'none'}")
    print(f"\n{TARGETS}")


if __name__ == "__main__":
    main(sys.argv[1:])
