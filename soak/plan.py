"""Draws the events of a soak, mostly faults, and their times from a seed.

`system` plays the plan against real daemons.
"""

import enum
import random
from typing import Final

import attrs

from figstream_platform import standin_store

DAEMON_COUNT: Final = 3
WORKERS_PER_SERVICE: Final = 3
# Short enough that about three events overlap in a plan with the most and
# longest events.
LATEST_START_S: Final = 9.0
_MIN_EVENTS: Final = 6
_MAX_EVENTS: Final = 12
_MIN_DURATION_S: Final = 0.3
_MAX_DURATION_S: Final = 2.5
# Other faults have ended by then.
_LAST_START_S: Final = LATEST_START_S + _MAX_DURATION_S


class EventKind(enum.Enum):
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
    STORE_RESTORED = "store_restored"  # An outage, then back from a copy.
    STORE_SILENT = "store_silent"  # Calls are accepted and never answered.
    WORKER_CRASH = "worker_crash"
    WORKER_FAULTS = "worker_faults"  # Next answers of a worker are faulty.
    DRAIN = "drain"  # A worker drains until the soak ends.
    CONFIGURE = "configure"  # A route is added or removed.
    REVOKE = "revoke"  # A key is removed for good.
    PROMPT_CRASHES = "prompt_crashes"  # Prompts with one block crash servers.
    REQUEST_CRASHES = "request_crashes"  # One request crashes servers.
    RELEASE = "release"  # Model workers are replaced by other software.
    PARTITION = "partition"  # A daemon can't open connections to workers.
    REFUSAL_LIMIT = "refusal_limit"  # Workers crash if they refuse too many.
    WORKER_SILENT = "worker_silent"  # A worker sends nothing for a while.
    WORKER_REPEATS = "worker_repeats"  # A worker sends refusals once more.
    RESUMES_FAIL = "resumes_fail"  # Rests of streams are answered wrongly.
    KILL_ALL = "kill_all"  # SIGKILL of all daemons; restart after it.
    ODD_ENTRY = "odd_entry"  # Another writer leaves an entry with the workers.
    EVACUATE = "evacuate"  # A zone is emptied and taken back.


# Kinds with a lasting effect; a plan contains each of them at most once.
_LASTING_KINDS: Final = frozenset({EventKind.DRAIN, EventKind.REVOKE})
# Routes of a large configuration, of which a link of 10 Mbit/s carries some
# versions a second; and the share of seeds that have one.
_IDLE_ROUTES: Final = 1_100
_LARGE_SHARE: Final = 0.35
# Objects in an answer to a list where they are few, of six entries of workers;
# and the share of such seeds.
_FEW_ITEMS: Final = 2
_SMALL_PAGES_SHARE: Final = 0.35
# Kinds that a generator of their own adds, so that the other events of a seed
# stay as they were when it was first played.
_ADDED_KINDS: Final = frozenset(
    {
        EventKind.STORE_RESTORED,
        EventKind.STORE_SILENT,
        EventKind.PROMPT_CRASHES,
        EventKind.REQUEST_CRASHES,
        EventKind.RELEASE,
        EventKind.KILL_ALL,
        EventKind.PARTITION,
        EventKind.REFUSAL_LIMIT,
        EventKind.WORKER_SILENT,
        EventKind.WORKER_REPEATS,
        EventKind.ODD_ENTRY,
        EventKind.RESUMES_FAIL,
        EventKind.EVACUATE,
    }
)
# Share of the plans in which requests crash servers, for each kind.
_CRASHES_SHARE: Final = 0.3
# Long enough to crash more servers than may crash.
_CRASHES_LAST_S: Final = 14.0
# Share of these events that come last, since earlier faults excuse late
# crashes; the others overlap with the rest of the plan.
_LATE_CRASHES_SHARE: Final = 0.5
# Share of the plans in which the store goes silent. This comes last, since
# earlier faults would excuse a change that is late.
_SILENCE_SHARE: Final = 0.3
# Share of the plans with a release; some have two. All daemons are then killed
# in most plans, half of the time shortly after a release began.
_RELEASE_SHARES: Final = (0.5, 0.25)
_KILL_ALL_SHARE: Final = 0.7
_KILL_DURING_RELEASE_SHARE: Final = 0.5
_RELEASE_LASTS_S: Final = 3.0
# Most sound workers of a plan that are silent for a moment, and for how long.
_MAX_SILENT_WORKERS: Final = 2
_SILENT_S: Final = 1.2
# Kinds drawn by a generator of their own, so that the other events of a seed
# stay as they are: the name of the generator, and the most events of a plan.
_OWN_DRAWS: Final = {
    EventKind.WORKER_REPEATS: ("repeats", 2),
    EventKind.ODD_ENTRY: ("odd entries", 3),
}
# Share of the plans with a partitioned daemon, and of those with refusal
# limits. Both last beyond the time in which a daemon may fail to cope; half of
# them come last, since faults excuse a daemon.
_PARTITION_SHARE: Final = 0.4
_LATE_SHARE: Final = 0.5
_PARTITION_LASTS_S: Final = 7.0
# Most zones that a plan empties; half of them come last, since faults excuse
# requests that reach the zone late.
_MAX_EVACUATIONS: Final = 2
# Share of the plans in which workers answer wrongly to what resumes a stream.
_RESUMES_FAIL_SHARE: Final = 0.4
# Share of the plans with a restore of the store; some have two.
_RESTORE_SHARES: Final = (0.5, 0.25)


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
    kind: EventKind
    target: int
    for_s: float
    draw: int


def idle_routes(seed: int) -> int:
    """Returns how many routes that no caller uses the configuration has."""
    generator = random.Random(f"large configurations {seed}")
    return _IDLE_ROUTES if generator.random() < _LARGE_SHARE else 0


def page_items(seed: int) -> int:
    """Returns how many objects an answer of the store to a list has."""
    generator = random.Random(f"small pages {seed}")
    small = generator.random() < _SMALL_PAGES_SHARE
    return _FEW_ITEMS if small else standin_store.PAGE_ITEMS


def make_plan(seed: int) -> list[Event]:
    """Returns the events of a seed, sorted by start time."""
    generator = random.Random(seed)
    events: list[Event] = []
    kinds = [kind for kind in EventKind if kind not in _ADDED_KINDS]
    for _ in range(generator.randint(_MIN_EVENTS, _MAX_EVENTS)):
        kind = generator.choice(kinds)
        if kind in _LASTING_KINDS:
            kinds.remove(kind)
        events.append(_draw_event(generator, kind))
    restores = random.Random(f"restores {seed}")
    events += [
        _draw_event(restores, EventKind.STORE_RESTORED)
        for share in _RESTORE_SHARES
        if restores.random() < share
    ]
    silences = random.Random(f"silences {seed}")
    if silences.random() < _SILENCE_SHARE:
        silence = _draw_event(silences, EventKind.STORE_SILENT)
        events.append(attrs.evolve(silence, at_s=_LAST_START_S))
    crashes = random.Random(f"crashes {seed}")
    for kind in (EventKind.PROMPT_CRASHES, EventKind.REQUEST_CRASHES):
        if crashes.random() < _CRASHES_SHARE:
            event = _draw_event(crashes, kind)
            if crashes.random() < _LATE_CRASHES_SHARE:
                event = attrs.evolve(event, at_s=_LAST_START_S)
            events.append(attrs.evolve(event, for_s=_CRASHES_LAST_S))
    events += _draw_releases(random.Random(f"releases {seed}"))
    silent_workers = random.Random(f"silent workers {seed}")
    for _ in range(silent_workers.randint(0, _MAX_SILENT_WORKERS)):
        event = _draw_event(silent_workers, EventKind.WORKER_SILENT)
        events.append(attrs.evolve(event, for_s=_SILENT_S))
    for kind, (name, most) in _OWN_DRAWS.items():
        generator = random.Random(f"{name} {seed}")
        events += [
            _draw_event(generator, kind)
            for _ in range(generator.randint(0, most))
        ]
    partitions = random.Random(f"partitions {seed}")
    for kind in (EventKind.PARTITION, EventKind.REFUSAL_LIMIT):
        if partitions.random() < _PARTITION_SHARE:
            event = _draw_event(partitions, kind)
            if partitions.random() < _LATE_SHARE:
                event = attrs.evolve(event, at_s=_LAST_START_S)
            events.append(attrs.evolve(event, for_s=_PARTITION_LASTS_S))
    evacuations = random.Random(f"evacuations {seed}")
    for _ in range(evacuations.randint(0, _MAX_EVACUATIONS)):
        event = _draw_event(evacuations, EventKind.EVACUATE)
        if evacuations.random() < _LATE_SHARE:
            event = attrs.evolve(event, at_s=_LAST_START_S)
        events.append(event)
    resumes = random.Random(f"resumes {seed}")
    if resumes.random() < _RESUMES_FAIL_SHARE:
        events.append(_draw_event(resumes, EventKind.RESUMES_FAIL))
    return sorted(events, key=lambda item: item.at_s)


def _draw_releases(generator: random.Random) -> list[Event]:
    """Draws releases, and kills of all daemons beside or after them."""
    releases = [
        _draw_event(generator, EventKind.RELEASE)
        for share in _RELEASE_SHARES
        if generator.random() < share
    ]
    if not releases or generator.random() >= _KILL_ALL_SHARE:
        return releases
    kill = _draw_event(generator, EventKind.KILL_ALL)
    if generator.random() < _KILL_DURING_RELEASE_SHARE:
        at_s = releases[0].at_s + generator.uniform(0.0, _RELEASE_LASTS_S)
        kill = attrs.evolve(kill, at_s=at_s)
    return [*releases, kill]


def _draw_event(generator: random.Random, kind: EventKind) -> Event:
    return Event(
        generator.uniform(0.5, LATEST_START_S),
        kind,
        generator.randrange(1_000),
        generator.uniform(_MIN_DURATION_S, _MAX_DURATION_S),
        generator.randrange(1_000),
    )
