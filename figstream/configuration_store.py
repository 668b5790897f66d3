"""Stores the configuration in the platform's object API.

A change writes its shards first and then the root, by a conditional update
that makes the change accepted. A change names its base generation; of two
concurrent changes, one gets a conflict. After a lost answer, the same
conditional update is retried until its outcome is known; the ids of accepted
writes in the root show which writer made an update.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import random
from typing import Final
from typing import Protocol
import uuid

import anyio
import attrs

from figstream import clock as clock_lib
from figstream import configuration as configuration_lib
from figstream import configuration_shards as shards_lib
from figstream import errors
from figstream import message_texts
from figstream import platform_api
from figstream import serialization

PREFIX: Final = "configuration/"
ROOT: Final = PREFIX + "root"
SHARDS: Final = PREFIX + "shards/"
# Attempts of each read or write before the operation fails.
_MAX_ATTEMPTS: Final = 6
# Several round trips to the platform.
_INITIAL_BACKOFF_S: Final = 0.05
# A retry of a write arrives before this many further writes are accepted.
_MAX_ACCEPTED_WRITES: Final = 64
# Limits concurrent reads to a fraction of the platform's rate limit.
_MAX_CONCURRENT_READS: Final = 16

Change = Callable[
    [configuration_lib.Configuration], configuration_lib.Configuration
]


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The change was accepted and created a generation.

    Attributes:
      generation: the generation that the change created.
      snapshot: the snapshot of that generation; None if the change was already
        accepted by an earlier call.
    """

    generation: int
    snapshot: shards_lib.Snapshot | None = dataclasses.field(
        default=None, compare=False, repr=False
    )


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationConflict:
    """A different change was accepted first; this one was not applied."""

    current: int

    @property
    def message(self) -> str:
        """Returns the message for the operator, including the remedy."""
        return message_texts.GENERATION_CONFLICT.format(current=self.current)


@dataclasses.dataclass(frozen=True, slots=True)
class RefusedChange:
    """The change violates a rule and was not applied."""

    why: str

    @property
    def message(self) -> str:
        """Returns the message for the operator, including the remedy."""
        return self.why


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformDown:
    """The platform is unreachable; the change was not applied."""

    detail: str

    @property
    def message(self) -> str:
        """Returns the message for the operator, including the remedy."""
        return message_texts.CHANGE_NOT_MADE.format(detail=self.detail)


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The change may have been accepted, or may still be accepted later."""

    write_id: str
    detail: str

    @property
    def message(self) -> str:
        """Returns the message for the operator, including the remedy."""
        return message_texts.CHANGE_UNKNOWN.format(
            write_id=self.write_id, detail=self.detail
        )


AcceptOutcome = (
    Accepted
    | GenerationConflict
    | RefusedChange
    | PlatformDown
    | OutcomeUnknown
)


class Acceptor(Protocol):
    """Applies changes to the configuration."""

    async def accept(
        self, change: Change, base_generation: int, write_id: str = ""
    ) -> AcceptOutcome:
        """Applies a change to the base generation."""


@attrs.frozen
class StoredRoot:
    """The root and its object version; version 0 if no root exists."""

    root: shards_lib.Root
    version: int


class ConfigurationStore:
    """Reads and changes the configuration in the object API."""

    def __init__(
        self, objects: platform_api.ObjectStore, clock: clock_lib.Clock
    ) -> None:
        """Initializes the store; the clock is used for the retry backoff."""
        self._objects = objects
        self._clock = clock
        self._random = random.Random(uuid.uuid4().int)

    async def read_root(self) -> StoredRoot | platform_api.Unavailable:
        """Returns the stored root, or generation 0 if no root exists."""
        found = await self._objects.read(ROOT)
        if isinstance(found, platform_api.Unavailable):
            return found
        if isinstance(found, platform_api.Absent):
            return StoredRoot(shards_lib.Root(), platform_api.ABSENT_VERSION)
        try:
            root = serialization.from_json(found.body, shards_lib.Root)
        except errors.ConfigurationError as error:
            return platform_api.Unavailable(str(error))
        return StoredRoot(root, found.version)

    async def read_newest(
        self, known: Mapping[str, bytes] | None = None
    ) -> shards_lib.Snapshot | platform_api.Unavailable:
        """Returns the newest generation, read from the platform.

        Args:
          known: bodies of shards that need not be read, by name.
        """
        for _ in range(_MAX_ATTEMPTS):
            stored = await self.read_root()
            if isinstance(stored, platform_api.Unavailable):
                return stored
            bodies = await self._read_shards(stored.root, known or {})
            if isinstance(bodies, platform_api.Unavailable):
                return bodies
            if bodies is not None:
                return shards_lib.Snapshot(stored.root, bodies)
        return platform_api.Unavailable(
            "configuration root changed during every read attempt"
        )

    async def accept(
        self,
        change: Change,
        base_generation: int,
        write_id: str = "",
        known: Mapping[str, bytes] | None = None,
    ) -> AcceptOutcome:
        """Applies a change to the base generation.

        Args:
          change: returns the new configuration for the current one; may raise
            errors.ConfigurationError.
          base_generation: generation on which the change is based.
          write_id: unique id of the change; a retry with the same id never
            applies the change twice.
          known: bodies of shards that need not be read, by name.
        """
        write_id = write_id or uuid.uuid4().hex
        stored = await self.read_root()
        if isinstance(stored, platform_api.Unavailable):
            return PlatformDown(stored.detail)
        if earlier := _accepted_as(stored.root, write_id):
            return Accepted(earlier)
        if stored.root.generation != base_generation:
            return GenerationConflict(stored.root.generation)
        bodies = await self._read_shards(stored.root, known or {})
        if isinstance(bodies, platform_api.Unavailable):
            return PlatformDown(bodies.detail)
        if bodies is None:
            return await self._resolve_outcome(write_id)
        try:
            new = _apply(change, stored.root, bodies, write_id)
        except errors.ConfigurationError as error:
            return RefusedChange(str(error))
        added = {k: v for k, v in new.bodies.items() if k not in bodies}
        if failed := await self._write_shards(added):
            return PlatformDown(failed.detail)
        return await self._write_root(new, stored.version, write_id)

    async def remove_unreferenced(self) -> int:
        """Removes shards that no generation can refer to any more.

        A writer refers only to shards listed in the root that it read and to
        shards introduced by the next generation. So a shard that was
        introduced by the root's generation or an earlier one, and that the
        root doesn't list, is never used again.

        Returns:
          The number of shards removed.
        """
        stored = await self.read_root()
        names = await self._objects.list_names(SHARDS)
        if isinstance(stored, platform_api.Unavailable) or isinstance(
            names, platform_api.Unavailable
        ):
            return 0
        listed = set(stored.root.shards)
        unused = [
            name
            for name in (item.removeprefix(SHARDS) for item in names)
            if name not in listed
            and shards_lib.generation_from_name(name) <= stored.root.generation
        ]
        return sum([await self._remove(name) for name in unused])

    async def _remove(self, name: str) -> bool:
        found = await self._objects.read(SHARDS + name)
        if not isinstance(found, platform_api.Found):
            return False
        deleted = await self._objects.delete(SHARDS + name, found.version)
        return isinstance(deleted, platform_api.Written)

    async def _read_shards(
        self, root: shards_lib.Root, known: Mapping[str, bytes]
    ) -> dict[str, bytes] | platform_api.Unavailable | None:
        """Returns the shard bodies, or None if a shard no longer exists."""
        found: dict[str, platform_api.ReadOutcome] = {}
        limiter = anyio.CapacityLimiter(_MAX_CONCURRENT_READS)

        async def read(name: str) -> None:
            async with limiter:
                found[name] = await self._objects.read(SHARDS + name)

        async with anyio.create_task_group() as group:
            for name in root.shards:
                if name not in known:
                    group.start_soon(read, name)
        outcomes = list(found.values())
        for outcome in outcomes:
            if isinstance(outcome, platform_api.Unavailable):
                return outcome
        read_bodies = {
            name: outcome.body
            for name, outcome in found.items()
            if isinstance(outcome, platform_api.Found)
        }
        if len(read_bodies) < len(found):
            return None
        return {
            name: known[name] if name in known else read_bodies[name]
            for name in root.shards
        }

    async def _write_shards(
        self, bodies: Mapping[str, bytes]
    ) -> platform_api.Unavailable | None:
        for name, body in bodies.items():
            if failed := await self._write_shard(name, body):
                return failed
        return None

    async def _write_shard(
        self, name: str, body: bytes
    ) -> platform_api.Unavailable | None:
        """Writes a shard.

        A conflict counts as success, since a shard that already exists under
        this name has the same content.
        """
        for attempt in range(_MAX_ATTEMPTS):
            outcome = await self._objects.write(
                SHARDS + name, body, platform_api.ABSENT_VERSION
            )
            match outcome:
                case platform_api.Written() | platform_api.Conflict():
                    return None
                case platform_api.Unavailable():
                    return outcome
            await self._back_off(attempt)
        return platform_api.Unavailable(
            "no answer to any attempt to write a configuration shard"
        )

    async def _write_root(
        self, new: shards_lib.Snapshot, version: int, write_id: str
    ) -> AcceptOutcome:
        body = serialization.to_json(new.root)
        detail = ""
        for attempt in range(_MAX_ATTEMPTS):
            outcome = await self._objects.write(ROOT, body, version)
            match outcome:
                case platform_api.Written():
                    return Accepted(new.root.generation, new)
                case platform_api.Conflict():
                    resolved = await self._resolve_outcome(write_id)
                    if resolved == Accepted(new.root.generation):
                        return Accepted(new.root.generation, new)
                    return resolved
                case platform_api.Unavailable() if not detail:
                    return PlatformDown(outcome.detail)
                case _:
                    detail = outcome.detail
            await self._back_off(attempt)
        return OutcomeUnknown(write_id, detail)

    async def _resolve_outcome(self, write_id: str) -> AcceptOutcome:
        """Returns whether the change that updated the root was this one."""
        detail = ""
        for attempt in range(_MAX_ATTEMPTS):
            stored = await self.read_root()
            if isinstance(stored, StoredRoot):
                earlier = _accepted_as(stored.root, write_id)
                if earlier:
                    return Accepted(earlier)
                return GenerationConflict(stored.root.generation)
            detail = stored.detail
            await self._back_off(attempt)
        return OutcomeUnknown(write_id, detail)

    async def _back_off(self, attempt: int) -> None:
        max_delay_s = _INITIAL_BACKOFF_S * 2**attempt
        await self._clock.sleep(self._random.uniform(0, max_delay_s))


def _accepted_as(root: shards_lib.Root, write_id: str) -> int | None:
    return next(
        (
            item.generation
            for item in root.accepted
            if item.write_id == write_id
        ),
        None,
    )


def _apply(
    change: Change,
    root: shards_lib.Root,
    bodies: Mapping[str, bytes],
    write_id: str,
) -> shards_lib.Snapshot:
    generation = root.generation + 1
    current = shards_lib.assemble(shards_lib.Snapshot(root, bodies))
    new = attrs.evolve(change(current), generation=generation)
    configuration_lib.check(new)
    accepted: Sequence[shards_lib.AcceptedWrite] = (
        *root.accepted[1 - _MAX_ACCEPTED_WRITES :],
        shards_lib.AcceptedWrite(generation, write_id),
    )
    return shards_lib.snapshot(new, root, accepted)
