"""Replaces daemons by such of another build while a soak runs.

The caller names a folder with the old build. A seed draws how the fleet goes
from one build to the other, which the soak plays beside its other events.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import enum
import pathlib
import random
import re
from typing import Final

import anyio
import attrs

from soak import daemons
from soak import plan as plan_lib

# Latest begin of the first replacement. Each takes up to six seconds.
_LATEST_START_S: Final = 4.0
_MAX_PAUSE_S: Final = 1.5
# Share of the replacements after which the daemon has other ports and another
# name, as on a new VM.
_MOVE_SHARE: Final = 0.5
# Events that a daemon logs when it can't read what another one stored or sent.
_UNREAD: Final = re.compile(
    r" event=(?:\w+_unreadable|\w+_malformed|vm_entry_skipped"
    r"|store_object_skipped|role_stopped .* reason=ConfigurationError"
    r"|settings_invalid|settings_refused)\b"
)


# Faults that the old build does not bear; the present one is played alone.
_NOT_BORNE: Final = frozenset(
    {
        plan_lib.EventKind.RESUMES_FAIL,
        plan_lib.EventKind.WORKER_REPEATS,
        plan_lib.EventKind.ODD_ENTRY,
        plan_lib.EventKind.EVACUATE,
    }
)


class Rollout(enum.Enum):
    """How a fleet goes from one build to the other."""

    UPGRADE = "upgrade"  # From the old build to the new one.
    ROLLBACK = "rollback"  # From the new build to the old one.
    ABANDONED = "abandoned"  # Some to the new build, and back.
    MIXED = "mixed"  # Both builds throughout.


@attrs.frozen
class Replacement:
    """One daemon that is replaced.

    Attributes:
      daemon: number of the daemon.
      tree: folder of the build that runs from now on.
      moves: whether it has another name and other ports from now on.
      pause_s: time before it.
    """

    daemon: int
    tree: pathlib.Path
    moves: bool
    pause_s: float


@attrs.frozen
class BuildPlan:
    """The builds of a soak.

    Attributes:
      name: what is played, for the result.
      first: folder of the build of each daemon at the start.
      replacements: the replacements, in order.
    """

    name: str
    first: tuple[pathlib.Path, ...]
    replacements: tuple[Replacement, ...] = ()

    @property
    def trees(self) -> frozenset[pathlib.Path]:
        """Returns the folders of all builds that run."""
        later = (item.tree for item in self.replacements)
        return frozenset((*self.first, *later))

    async def play(
        self, replace: Callable[[Replacement], Awaitable[None]]
    ) -> None:
        """Replaces one daemon after the other."""
        for item in self.replacements:
            await anyio.sleep(item.pause_s)
            await replace(item)


def make_build_plan(seed: int, old: pathlib.Path | None) -> BuildPlan:
    """Draws the builds of a seed; without an old build all run the new one."""
    count = plan_lib.DAEMON_COUNT
    new = daemons.ROOT
    if old is None:
        return BuildPlan("one build", (new,) * count)
    generator = random.Random(f"builds {seed}")
    rollout = generator.choice(list(Rollout))
    order = generator.sample(range(count), count)
    if rollout is Rollout.MIXED:
        old_count = generator.randint(1, count - 1)
        first = tuple(
            old if number in order[:old_count] else new
            for number in range(count)
        )
        # Replacements by the same build show that only the build matters.
        steps = [(number, first[number]) for number in order[:1]]
    elif rollout is Rollout.ROLLBACK:
        first = (new,) * count
        steps = [(number, old) for number in order]
    else:
        first = (old,) * count
        steps = [(number, new) for number in order]
    if rollout is Rollout.ABANDONED:
        upgraded = order[: generator.randint(1, count)]
        steps = [(number, new) for number in upgraded]
        steps += [(number, old) for number in reversed(upgraded)]
    pauses = [generator.uniform(0.0, _MAX_PAUSE_S) for _ in steps]
    pauses[0] = generator.uniform(0.5, _LATEST_START_S)
    replacements = tuple(
        Replacement(number, tree, generator.random() < _MOVE_SHARE, pause_s)
        for (number, tree), pause_s in zip(steps, pauses, strict=True)
    )
    return BuildPlan(rollout.value, first, replacements)


def borne(
    events: Iterable[plan_lib.Event], old: pathlib.Path | None
) -> list[plan_lib.Event]:
    """Returns the events that all builds bear; all if there is no old one."""
    return [x for x in events if old is None or x.kind not in _NOT_BORNE]


def unread(folder: pathlib.Path) -> list[str]:
    """Returns what daemons logged about objects that they could not read."""
    return [
        f"{log.stem} could not read: {line[:200]}"
        for log in sorted(folder.glob("*.log"))
        for line in log.read_text(errors="replace").splitlines()
        if _UNREAD.search(line)
    ]
