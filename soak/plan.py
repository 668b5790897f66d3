"""What happens in a soak and when, drawn from a seed."""

import enum
import random
from typing import Final

import attrs

DAEMONS: Final = 3
WORKERS_EACH: Final = 3
# Seconds of faults; the longest series then overlaps itself twice.
FAULTS_S: Final = 9.0
_FEWEST: Final = 6
_MOST: Final = 12
_SHORTEST_S: Final = 0.3
_LONGEST_S: Final = 2.5


class Kind(enum.Enum):
    """Kinds of events."""

    KILL = "kill"  # SIGKILL; starts again after the duration.
    TERMINATE = "terminate"  # SIGTERM; starts again once it has ended.
    ROLL = "roll"  # SIGTERM to one daemon after the other.
    PAUSE = "pause"  # SIGSTOP and SIGCONT.
    RELOAD = "reload"  # SIGHUP.
    CLOCK = "clock"  # The time of day jumps and comes back.
    STORE_LINK = "store_link"  # The link of one daemon to the store.
    CALLER_LINK = "caller_link"  # The link of callers to one daemon.
    WORKER_LINK = "worker_link"  # The link of all daemons to a worker.
    STORE_DOWN = "store_down"
    STORE_REFUSES = "store_refuses"  # It turns one daemon away.
    STORE_SLOW = "store_slow"
    STORE_LOSES = "store_loses"  # It does writes and does not answer.
    STORE_FORGETS = "store_forgets"  # It drops its history.
    WORKER_CRASH = "worker_crash"
    WORKER_FAULTS = "worker_faults"  # The next answers of a worker are wrong.
    DRAIN = "drain"  # A worker drains for the rest of the soak.
    CONFIGURE = "configure"  # A route comes or goes.
    REVOKE = "revoke"  # A key is taken away for good.


# Events that a soak has at most once: they last.
_ONCE: Final = frozenset({Kind.DRAIN, Kind.REVOKE})


@attrs.frozen
class Event:
    """One event.

    Attributes:
      at_s: seconds from the start of the load.
      kind: what happens.
      target: number of the daemon or worker it happens to.
      for_s: how long it lasts.
      draw: a number that variants of the kind are chosen by.
    """

    at_s: float
    kind: Kind
    target: int
    for_s: float
    draw: int


def make_plan(seed: int) -> list[Event]:
    """Returns the events of a seed, in order of time."""
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
