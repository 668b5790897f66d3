"""Decides which backend servers a zone should start, reload or stop.

`server_ordering` calls the policy once per round and sends its decisions to
the platform as orders. The policy does no input or output and takes the
current time as an argument.

Demand of preemptible request classes is met with the cheaper, reclaimable
servers; all other demand is met with permanent servers. When the platform has
no servers of a type available, the policy backs off from that type. A server
is stopped only after it has been surplus for a long time.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import itertools
import math
import random
from typing import Final

import attrs

from figstream import demand as demand_lib

# Used for servers whose configuration states no other number.
SLOTS: Final = 16
# Slots provided per concurrent request, so that a burst finds free slots.
HEADROOM: Final = 1.25
# Remaining slots per needed slot that allow a server to be stopped.
SPARE: Final = 1.5
# Ten times the startup time of a server.
IDLE_S: Final = 300.0
# Replaces IDLE_S for the last server of a model.
LAST_IDLE_S: Final = 900.0
# Limit per zone; twice the planned number of servers.
MAX_SERVERS: Final = 200
# Limit per round; further starts are decided once these have taken effect.
MAX_STARTS: Final = 4
# Limit per model and round for reclaimable servers.
_MAX_GAINS: Final = 8
# Upper bound of the first backoff; doubled with each further refusal.
_FIRST_DELAY_S: Final = 5.0
_MAX_DELAY_S: Final = 300.0


@attrs.frozen
class Capacity:
    """A backend server that serves a model in the zone.

    Attributes:
      name: name of the server, or the order id while the server starts.
      model: model that the server serves.
      slots: number of requests that the server runs concurrently.
      reclaimable: whether the server is of the cheaper, reclaimable type.
      ordered: whether the policy may stop the server.
    """

    name: str
    model: str
    slots: int = SLOTS
    reclaimable: bool = False
    ordered: bool = True


@attrs.frozen
class Start:
    """Decision to start a server."""

    model: str
    reclaimable: bool


@attrs.frozen
class Stop:
    """Decision to stop a server."""

    name: str


@attrs.frozen
class LoadModel:
    """Decision to load another model into a surplus server."""

    name: str
    model: str


Decision = Start | Stop | LoadModel


@attrs.frozen
class _Need:
    """Slots that one model needs.

    Attributes:
      model: name of the model.
      tier: highest tier (lowest number) among the demand for the model.
      firm: slots needed on permanent servers.
      total: slots needed on servers of both types.
    """

    model: str
    tier: int
    firm: float
    total: float


@attrs.define
class _Backoff:
    """State of the backoff from one server type."""

    attempts: int = 0
    until: float = float("-inf")


class CapacityPolicy:
    """Capacity policy of one zone, with its backoffs and surplus timers."""

    def __init__(self, seed: int) -> None:
        """Initializes the policy; the seed determines the backoff jitter."""
        self._random = random.Random(seed)
        self._backoffs = {True: _Backoff(), False: _Backoff()}
        self._spare_since: dict[str, float] = {}

    def none_available(self, reclaimable: bool, now: float) -> None:
        """Starts or extends the backoff after a refused order for a type."""
        backoff = self._backoffs[reclaimable]
        longest = min(_MAX_DELAY_S, _FIRST_DELAY_S * 2**backoff.attempts)
        backoff.attempts += 1
        backoff.until = now + self._random.uniform(longest / 2, longest)

    def available(self, reclaimable: bool) -> None:
        """Ends the backoff after an accepted order for a type."""
        self._backoffs[reclaimable] = _Backoff()

    def waits(self, reclaimable: bool, now: float) -> bool:
        """Returns whether the policy currently backs off from a type."""
        return now < self._backoffs[reclaimable].until

    def decide(
        self,
        demand: demand_lib.Demand,
        servers: Sequence[Capacity],
        now: float,
    ) -> Sequence[Decision]:
        """Returns the decisions of one round, the highest tier first.

        Args:
          demand: demand of the zone's requests.
          servers: servers that run or are being started, without servers that
            are leaving or draining.
          now: current clock time in seconds.
        """
        models = {item.model for item in servers}
        needs = _needs(demand, models)
        spare = self._spare(needs, servers, now)
        room = max(0, MAX_SERVERS - len(servers))
        starts = list(
            itertools.islice(
                self._starts(needs, servers, now), min(room, MAX_STARTS)
            )
        )
        if not starts:
            return [Stop(item.name) for item in spare[:1]]
        return list(_reuse(starts, spare))

    def _starts(
        self, needs: Iterable[_Need], servers: Sequence[Capacity], now: float
    ) -> Iterable[Start]:
        for need in needs:
            mine = [item for item in servers if item.model == need.model]
            firm_slots = sum(x.slots for x in mine if not x.reclaimable)
            slots = sum(item.slots for item in mine)
            firm = max(0, math.ceil((need.firm - firm_slots) / SLOTS))
            cheap = math.ceil((need.total - slots) / SLOTS) - firm
            # A model without any server gets one permanent server; otherwise
            # its preemptible requests would starve until reclaimable servers
            # become available again.
            if cheap > 0 and self.waits(True, now) and not mine and not firm:
                firm = 1
            if not self.waits(False, now):
                yield from itertools.repeat(Start(need.model, False), firm)
            if cheap > 0 and not self.waits(True, now):
                count = min(cheap, _MAX_GAINS)
                yield from itertools.repeat(Start(need.model, True), count)

    def _spare(
        self, needs: Iterable[_Need], servers: Sequence[Capacity], now: float
    ) -> list[Capacity]:
        """Returns servers that have been surplus for the idle time."""
        found = [
            (item, len(mine))
            for need in needs
            if (mine := [x for x in servers if x.model == need.model])
            for item in _surplus(need, mine)
        ]
        self._spare_since = {
            item.name: self._spare_since.get(item.name, now)
            for item, _ in found
        }
        return [
            item
            for item, count in found
            if now - self._spare_since[item.name]
            >= (IDLE_S if count > 1 else LAST_IDLE_S)
        ]


def _reuse(
    starts: Iterable[Start], spare: Iterable[Capacity]
) -> Iterable[Decision]:
    """Replaces a start by a model load if a surplus server has the type."""
    names: dict[bool, list[str]] = {True: [], False: []}
    for item in spare:
        names[item.reclaimable].append(item.name)
    for start in starts:
        same_kind = names[start.reclaimable]
        yield LoadModel(same_kind.pop(0), start.model) if same_kind else start


def _needs(demand: demand_lib.Demand, models: Iterable[str]) -> list[_Need]:
    names = {*models, *(key.model for key in demand)}
    return sorted(
        (_need(name, demand) for name in names),
        key=lambda need: (need.tier, need.model),
    )


def _need(model: str, demand: demand_lib.Demand) -> _Need:
    mine = {
        key: count
        for key, count in demand.items()
        if key.model == model and count > 0
    }
    firm = sum(n for key, n in mine.items() if not key.preemptible)
    preemptible = sum(n for key, n in mine.items() if key.preemptible)
    tier = min((key.tier for key in mine), default=1_000)
    return _Need(model, tier, HEADROOM * firm, HEADROOM * firm + preemptible)


def _surplus(need: _Need, mine: Sequence[Capacity]) -> Iterable[Capacity]:
    """Yields servers whose removal leaves the required surplus of slots.

    Permanent servers come first because they cost more, provided that enough
    of them remain for the demand that needs permanent servers.
    """
    slots = sum(item.slots for item in mine)
    firm_slots = sum(item.slots for item in mine if not item.reclaimable)
    ordered = sorted(
        (item for item in mine if item.ordered),
        key=lambda item: (item.reclaimable, item.name),
    )
    for item in ordered:
        slots_left = slots - item.slots
        firm_left = firm_slots - (0 if item.reclaimable else item.slots)
        enough = slots_left >= SPARE * need.total
        firm_enough = item.reclaimable or firm_left >= SPARE * need.firm
        if enough and firm_enough:
            slots, firm_slots = slots_left, firm_left
            yield item
