"""Takes the configuration from an object that an operator writes."""

from collections.abc import Callable

from figstream import configuration as configuration_lib
from figstream import configuration_holder
from figstream import errors
from figstream import logs
from figstream import object_follower
from figstream import platform_api

Decode = Callable[[platform_api.StoredItem], configuration_lib.Configuration]


class ConfigurationFeed:
    """Puts each new version of one object in force."""

    def __init__(
        self,
        follower: object_follower.ObjectFollower,
        name: str,
        decode: Decode,
        holder: configuration_holder.ConfigurationHolder,
    ) -> None:
        """Follows the object from now on.

        Args:
          follower: follows the kind of the object.
          name: name of the object.
          decode: reads it.
          holder: takes the configuration; it refuses older versions.
        """
        self._name = name
        self._decode = decode
        self._holder = holder
        self._version = 0
        follower.subscribe(self._take)

    def _take(self, items: object_follower.Items) -> None:
        item = items.get(self._name)
        if item is None or item.version == self._version:
            return
        self._version = item.version
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
            logs.info(
                "configuration_in_force",
                generation=configuration.generation,
                routes=len(configuration.gateway_routes),
                customers=len(configuration.customers),
            )
        self._holder.confirm(configuration.generation)
