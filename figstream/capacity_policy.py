"""Decides which backend servers a zone should start and give back.

Demand of classes that may be preempted goes to the cheaper, reclaimable kind;
all other demand goes to servers that stay. Where none of a kind can be had,
the policy backs off. Servers are given back only after a shortage has been
absent for long. The policy does no input or output and takes the time as an
argument.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import itertools
import math
import random
from typing import Final

import attrs

from figstream import demand as demand_lib

# Slots of a server that says nothing else.
SLOTS: Final = 16
# Slots for each request at once, so that a burst finds room.
HEADROOM: Final = 1.25
# Spare room that must remain when a server is given back.
SPARE: Final = 1.5
# Seconds; ten times the start of a server.
IDLE_S: Final = 300.0
# Seconds for the last server of a model.
LAST_IDLE_S: Final = 900.0
# Servers of a zone; twice the plan.
MAX_SERVERS: Final = 200
# Starts in a round; the rest waits for their effect.
MAX_STARTS: Final = 4
# Starts of the cheaper kind in a round.
_MAX_GAINS: Final = 8
# Seconds of the first wait after a refusal; doubled with each.
_FIRST_DELAY_S: Final = 5.0
# Seconds of the longest wait.
_MAX_DELAY_S: Final = 300.0


@attrs.frozen
class Capacity:
    """A backend server that serves a model in the zone.

    Attributes:
      name: its name, or the order id of one that is being started.
      model: model it serves.
      slots: requests it runs at once.
      reclaimable: whether it is of the cheaper kind.
      ordered: whether the system may give it back.
    """

    name: str
    model: str
    slots: int = SLOTS
    reclaimable: bool = False
    ordered: bool = True


@attrs.frozen
class Start:
    """Start a server."""

    model: str
    reclaimable: bool


@attrs.frozen
class Stop:
    """Give a server back."""

    name: str


@attrs.frozen
class LoadModel:
    """Load another model into a server that is no longer needed."""

    name: str
    model: str


Decision = Start | Stop | LoadModel


@attrs.frozen
class _Need:
    """What one model needs, in requests at once."""

    model: str
    tier: int
    firm: float
    total: float


@attrs.define
class _Backoff:
    """How long to wait before asking for a kind again."""

    attempts: int = 0
    until: float = float("-inf")


class CapacityPolicy:
    """The policy of one zone and what it remembers."""

    def __init__(self, seed: int) -> None:
        """Starts afresh; the seed fixes the jitter."""
        self._random = random.Random(seed)
        self._backoffs = {True: _Backoff(), False: _Backoff()}
        self._spare_since: dict[str, float] = {}

    def none_available(self, reclaimable: bool, now: float) -> None:
        """Backs off from a kind that can't be had at present."""
        backoff = self._backoffs[reclaimable]
        longest = min(_MAX_DELAY_S, _FIRST_DELAY_S * 2**backoff.attempts)
        backoff.attempts += 1
        backoff.until = now + self._random.uniform(longest / 2, longest)

    def available(self, reclaimable: bool) -> None:
        """Ends backing off from a kind that can be had."""
        self._backoffs[reclaimable] = _Backoff()

    def waits(self, reclaimable: bool, now: float) -> bool:
        """Tells whether the policy backs off from a kind."""
        return now < self._backoffs[reclaimable].until

    def decide(
        self,
        demand: demand_lib.Demand,
        servers: Sequence[Capacity],
        now: float,
    ) -> Sequence[Decision]:
        """Returns what to do now, the highest tier first.

        Args:
          demand: what the zone's requests ask for.
          servers: those that run and those being started, without those that
            leave or drain.
          now: clock seconds.
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
            # Without any server, work that may be preempted would starve
            # until the cheaper kind can be had again.
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
        """Returns servers that have not been needed for long."""
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
    """Loads another model into a spare server of the kind, if there is one."""
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
    """Yields servers without which the need is still met with room to spare.

    The dearer kind goes first, as long as firm demand keeps its own.
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
