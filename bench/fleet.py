"""Simulates the schedulers of several daemons and fake engines.

The simulation runs in virtual time. Load reports are delayed and may be lost.
Refused callers retry after the advised time, or after about a second if none
was given.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import functools
import itertools
import random
from typing import Final

import attrs

from bench import fake_engine
from bench import fleet_daemon
from bench import run_records
from bench import traffic
from bench import virtual_time
from figstream import backend_server
from figstream import configuration as configuration_lib
from figstream import customer as customer_lib
from figstream import scheduler_api

REPORT_INTERVAL_S: Final = 0.5
_MAX_RETURNS: Final = 4
_UNTOLD_RETURN_S: Final = 1.0
_RETURN_JITTER: Final = 0.2
_BLAME_INTERVAL_S: Final = 0.5


@attrs.frozen
class Setting:
    """Composition of the fleet, its load reports and its faults.

    Attributes:
      servers: backend servers.
      zones: availability zones, one for each daemon.
      duration_s: length of the run.
      report_lag_s: delay of load reports.
      report_loss: share of load reports that are lost.
      weights: weight by customer; 1 for customers without an entry.
      faults: called with the fleet before the run to schedule its faults.
    """

    servers: Sequence[backend_server.BackendServer]
    zones: Sequence[str]
    duration_s: float = 90.0
    report_lag_s: float = 0.5
    report_loss: float = 0.0
    weights: dict[str, float] = attrs.field(factory=dict)
    faults: Callable[["Fleet"], None] = lambda fleet: None


def make_engine_server(
    name: str, zone: str, slots: int = 16, reclaimable: bool = False
) -> backend_server.BackendServer:
    """Creates the backend server entry of one engine."""
    return backend_server.BackendServer(
        name,
        "",
        zone,
        models=(fleet_daemon.MODEL,),
        slots=slots,
        reclaimable=reclaimable,
        cost=0.4 if reclaimable else 1.0,
    )


class Fleet:
    """Daemons and engines of one run, and the records of its requests."""

    def __init__(
        self,
        setting: Setting,
        arrivals: Sequence[traffic.Arrival],
        make_scheduler: Callable[[str, int], scheduler_api.Scheduler],
        blamed: bool,
        seed: int,
    ) -> None:
        """Initializes the daemons and engines and schedules the arrivals."""
        self.setting = setting
        self.time = virtual_time.VirtualTime()
        self.cut_off = False
        self.work = run_records.Work()
        self.records: list[run_records.Record] = []
        self.engines: Mapping[str, fake_engine.FakeEngine] = {
            item.name: fake_engine.FakeEngine(item.name, item.slots, self.time)
            for item in setting.servers
        }
        self._zones = {item.name: item.zone for item in setting.servers}
        self._random = random.Random(seed)
        names = {item.customer for item in arrivals}
        configuration = configuration_lib.Configuration(
            servers=tuple(setting.servers),
            classes=traffic.CLASSES,
            customers=tuple(
                customer_lib.Customer(name, setting.weights.get(name, 1.0))
                for name in sorted(names)
            ),
        )
        self.daemons = [
            fleet_daemon.Daemon(
                self, index, zone, make_scheduler(zone, seed + index), blamed
            )
            for index, zone in enumerate(setting.zones)
        ]
        for daemon in self.daemons:
            daemon.scheduler.set_configuration(configuration)
            in_zone = setting.zones.count(daemon.zone)
            daemon.scheduler.set_live_daemons(in_zone, len(setting.zones))
        for arrival in arrivals:
            chosen = self._random.choice(self.daemons)
            self.time.at(arrival.at, functools.partial(chosen.arrive, arrival))
        self.time.every(REPORT_INTERVAL_S, self._report)
        if blamed:
            self.time.every(_BLAME_INTERVAL_S, self._spread_blame)
        setting.faults(self)

    def run(self) -> None:
        """Runs for the whole duration, then until every deadline has passed."""
        self.time.run_until(self.setting.duration_s + 95.0)

    def come_back(
        self, record: run_records.Record, told_s: float | None
    ) -> None:
        """Schedules a retry at a random daemon if it falls before the deadline.

        Args:
          record: the refused request.
          told_s: wait that the refusal advised, or None.
        """
        level = record.arrival.stream.request_class.service_level
        wait_s = told_s if told_s is not None else _UNTOLD_RETURN_S
        wait_s *= 1.0 + _RETURN_JITTER * self._random.random()
        patience_ends = record.arrival.at + level.deadline_s
        if record.returns < _MAX_RETURNS and (
            self.time.now + wait_s < patience_ends
        ):
            record.returns += 1
            chosen = self._random.choice(self.daemons)
            self.time.after(wait_s, functools.partial(chosen.take, record))

    def _spread_blame(self) -> None:
        now = self.time.now
        digests = [daemon.blame.digest(now) for daemon in self.daemons]
        for teller, hearer in itertools.permutations(self.daemons, 2):
            hearer.blame.merge(digests[self.daemons.index(teller)], now)

    def _report(self) -> None:
        for engine in self.engines.values():
            if not engine.alive:
                continue
            load = scheduler_api.ServerLoad(
                engine.name, engine.running, engine.waiting, self.time.now
            )
            zone = self._zones[engine.name]
            for daemon in self.daemons:
                if self.cut_off and daemon.zone != zone:
                    continue
                if self._random.random() >= self.setting.report_loss:
                    deliver = functools.partial(
                        daemon.scheduler.report_load, load
                    )
                    self.time.after(self.setting.report_lag_s, deliver)
