"""Draws the events of a soak, mostly faults, and their times from a seed.

`system` plays the plan against real daemons.
"""

import enum
import random
from typing import Final

import attrs

DAEMONS: Final = 3
WORKERS_EACH: Final = 3
# In a plan with the most and longest events, about three then overlap.
FAULTS_S: Final = 9.0
_FEWEST: Final = 6
_MOST: Final = 12
_SHORTEST_S: Final = 0.3
_LONGEST_S: Final = 2.5


class Kind(enum.Enum):
    """Kinds of events that a soak plays."""

    KILL = "kill"  # SIGKILL; restart after the duration.
    TERMINATE = "terminate"  # SIGTERM; restart after the exit.
    ROLL = "roll"  # SIGTERM and restart, daemon by daemon.
    PAUSE = "pause"  # SIGSTOP and SIGCONT.
    RELOAD = "reload"  # SIGHUP.
    CLOCK = "clock"  # A daemon's wall clock is stepped and set back.
    STORE_LINK = "store_link"  # Link of one daemon to the store.
    CALLER_LINK = "caller_link"  # Link of callers to one daemon.
    WORKER_LINK = "worker_link"  # Link of all daemons to a worker.
    STORE_DOWN = "store_down"
    STORE_REFUSES = "store_refuses"  # The store refuses one daemon.
    STORE_SLOW = "store_slow"
    STORE_LOSES = "store_loses"  # Writes are done, answers dropped.
    STORE_FORGETS = "store_forgets"  # The store drops its change history.
    WORKER_CRASH = "worker_crash"
    WORKER_FAULTS = "worker_faults"  # The next answers are faulty.
    DRAIN = "drain"  # A worker drains until the soak ends.
    CONFIGURE = "configure"  # A route is added or removed.
    REVOKE = "revoke"  # A key is removed for good.


# These have a lasting effect, so that a plan holds each at most once.
_ONCE: Final = frozenset({Kind.DRAIN, Kind.REVOKE})


@attrs.frozen
class Event:
    """One event of a plan.

    Attributes:
      at_s: start of the event, in seconds from the start of the load.
      kind: kind of the event.
      target: number that selects the daemon or worker concerned.
      for_s: duration in seconds.
      draw: number that selects a variant of the kind.
    """

    at_s: float
    kind: Kind
    target: int
    for_s: float
    draw: int


def make_plan(seed: int) -> list[Event]:
    """Returns the events of a seed, sorted by start time."""
    source = random.Random(seed)
    events: list[Event] = []
    kinds = list(Kind)
    for _ in range(source.randint(_FEWEST, _MOST)):
        kind = source.choice(kinds)
        if kind in _ONCE:
            kinds.remove(kind)
        events.append(
            Event(
                source.uniform(0.5, FAULTS_S),
                kind,
                source.randrange(1_000),
                source.uniform(_SHORTEST_S, _LONGEST_S),
                source.randrange(1_000),
            )
        )
    return sorted(events, key=lambda item: item.at_s)
