"""Stores a daemon's copy of the configuration, with its encoded shards.

The generation never decreases. The shards are stored as bytes, so that peers
with a lower generation can be sent only the shards that they lack.
"""

from collections.abc import Mapping
from typing import Final

from figstream import clock as clock_lib
from figstream import configuration_holder
from figstream import configuration_shards as shards_lib
from figstream import errors
from figstream import logs
from figstream import metrics as metrics_lib

# Generations whose shard names are stored, to compute which shards a peer with
# that generation lacks.
_MAX_GENERATIONS: Final = 64


class ConfigurationCopy:
    """The newest snapshot of this daemon.

    The holder contains the same generation as a decoded configuration.
    """

    def __init__(
        self,
        holder: configuration_holder.ConfigurationHolder,
        clock: clock_lib.Clock,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Initializes the copy with generation 0."""
        self._holder = holder
        self._clock = clock
        self._metrics = metrics
        self._assembler = shards_lib.Assembler()
        self._snapshot = shards_lib.Snapshot()
        self._shard_names_by_generation: dict[int, frozenset[str]] = {}

    @property
    def generation(self) -> int:
        """Returns the active generation."""
        return self._snapshot.root.generation

    @property
    def snapshot(self) -> shards_lib.Snapshot:
        """Returns the active root and its shards."""
        return self._snapshot

    @property
    def unconfirmed_s(self) -> float:
        """Returns the age in seconds of the last confirmation as newest."""
        return self._holder.unconfirmed_s

    @property
    def zones(self) -> frozenset[str]:
        """Returns the availability zones that have backend servers."""
        return frozenset(item.zone for item in self._holder.current.servers)

    def activate(
        self, received: shards_lib.Snapshot, confirmed_at: float, source: str
    ) -> bool:
        """Activates a snapshot unless its generation is lower.

        Args:
          received: the root and its shards.
          confirmed_at: clock time at which the snapshot was the newest.
          source: name of the peer that sent the snapshot, "platform", or
            "operator" for a change accepted by this daemon.

        Returns:
          Whether the active generation is now the one of the snapshot.
        """
        generation = received.root.generation
        if generation < self.generation:
            self._refuse_lower(generation, source)
            return False
        if generation > self.generation and not self._replace(received, source):
            return False
        self.confirm(generation, self._clock.now() - confirmed_at)
        return True

    def confirm(self, generation: int, age_s: float) -> None:
        """Records that a generation was the newest `age_s` seconds ago."""
        self._holder.confirm(generation, age_s)

    def shards_missing_from(self, generation: int) -> Mapping[str, bytes]:
        """Returns the shards that the given lower generation lacks.

        All shards are returned if the shard names of that generation are not
        stored any more.
        """
        known = self._shard_names_by_generation.get(generation, frozenset())
        bodies = self._snapshot.bodies
        return {name: bodies[name] for name in bodies if name not in known}

    def _replace(self, received: shards_lib.Snapshot, source: str) -> bool:
        try:
            configuration = self._assembler.assemble(received)
        except errors.ConfigurationError as error:
            self._metrics.event("configuration_unreadable")
            logs.error("configuration_unreadable", why=error, source=source)
            return False
        self._snapshot = received
        self._shard_names_by_generation[received.root.generation] = frozenset(
            received.root.shards
        )
        while len(self._shard_names_by_generation) > _MAX_GENERATIONS:
            del self._shard_names_by_generation[
                min(self._shard_names_by_generation)
            ]
        self._holder.replace(configuration)
        self._metrics.event("configuration_taken")
        logs.info(
            "configuration_taken",
            generation=configuration.generation,
            source=source,
        )
        return True

    def _refuse_lower(self, generation: int, source: str) -> None:
        self._metrics.event("configuration_lower_refused")
        logs.warning(
            "configuration_lower_refused",
            generation=generation,
            in_force=self.generation,
            source=source,
        )
