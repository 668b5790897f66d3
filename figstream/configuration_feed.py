"""Loads the configuration from an object that an operator writes.

The gateway uses this feed. The daemons that route model traffic use
`configuration_propagation` instead. The object of the active configuration is
retained, since the store may lose it in a restore from an older copy.
"""

from collections.abc import Callable

from figstream import configuration as configuration_lib
from figstream import configuration_holder
from figstream import errors
from figstream import logs
from figstream import object_follower
from figstream import platform_api

Decode = Callable[[platform_api.StoredItem], configuration_lib.Configuration]


class ConfigurationFeed:
    """Activates each new version of one object."""

    def __init__(
        self,
        follower: object_follower.ObjectFollower,
        name: str,
        decode: Decode,
        holder: configuration_holder.ConfigurationHolder,
    ) -> None:
        """Subscribes to the object.

        Args:
          follower: follower of all objects of the kind.
          name: name of the object.
          decode: decodes the object into a configuration; may raise
            errors.ConfigurationError.
          holder: receives the configuration and refuses older generations.
        """
        self._name = name
        self._decode = decode
        self._holder = holder
        self._version = 0
        self._active_item: platform_api.StoredItem | None = None
        follower.subscribe(self._apply_items)
        follower.subscribe_confirmed(self._confirm)

    @property
    def generation(self) -> int:
        """Returns the generation of the active configuration."""
        return self._holder.current.generation

    @property
    def active_item(self) -> platform_api.StoredItem | None:
        """Returns the object of the active configuration, None without one."""
        return self._active_item

    @property
    def confirmed_at(self) -> float:
        """Returns the clock time at which nothing newer was known to exist."""
        return self._holder.confirmed_at

    def apply(
        self, item: platform_api.StoredItem, proven_at: float | None = None
    ) -> None:
        """Activates the configuration of an object unless it is older.

        Args:
          item: the object.
          proven_at: clock time at which no newer object existed, None if the
            follower of the object tells it.
        """
        try:
            configuration = self._decode(item)
        except errors.ConfigurationError as error:
            logs.error(
                "configuration_unreadable",
                version=item.version,
                detail=str(error),
            )
            return
        if self._holder.replace(configuration):
            self._active_item = item
            logs.info(
                "configuration_in_force",
                generation=configuration.generation,
                routes=len(configuration.gateway_routes),
                customers=len(configuration.customers),
            )
        if proven_at is not None:
            self._holder.confirm_at(configuration.generation, proven_at)

    def _confirm(self, age_s: float) -> None:
        self._holder.confirm(self.generation, age_s)

    def _apply_items(self, items: object_follower.Items) -> None:
        item = items.get(self._name)
        if item is None or item.version == self._version:
            return
        self._version = item.version
        self.apply(item)
