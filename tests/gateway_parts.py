"""Parts of a gateway daemon for tests, with a feed by hand."""

from collections.abc import Callable
from typing import Any

import anyio

from figstream import backend_server
from figstream import clock as clock_lib
from figstream import configuration as configuration_lib
from figstream import configuration_holder
from figstream import errors
from figstream import metrics
from figstream import object_follower
from figstream import platform_api
from figstream import scheduler
from figstream import server_directory


class HandFeed:
    """A feed whose answers the test lines up; it waits when it has none."""

    def __init__(self) -> None:
        self.answers: list[Any] = []
        self.waits: list[float | None] = []

    async def snapshot(self, kind: str, *, stale: bool = False) -> Any:
        self.waits.append(None)
        return await self._next()

    async def changes(self, kind: str, position: int, timeout_s: float) -> Any:
        self.waits.append(timeout_s)
        return await self._next()

    async def _next(self) -> Any:
        if not self.answers:
            await anyio.sleep_forever()
        await anyio.lowlevel.checkpoint()
        found = self.answers.pop(0)
        return found() if isinstance(found, Callable) else found  # type: ignore[arg-type]


def decode(item: platform_api.StoredItem) -> backend_server.BackendServer:
    if not isinstance(item.value, str):
        raise errors.ConfigurationError("no text")
    return backend_server.BackendServer(
        item.name, "http://10.0.0.1:1", item.value, service="s"
    )


def item(name: str, version: int = 1, value: Any = "a") -> Any:
    return platform_api.StoredItem(name, version, value)


class Directory:
    """A directory over a feed by hand, and what the scheduler gets."""

    def __init__(self) -> None:
        self.clock = clock_lib.ManualClock(100.0)
        self.feed = HandFeed()
        unexported = metrics.make_unexported_metrics()
        self.follower = object_follower.ObjectFollower(
            "servers", self.feed, self.clock, unexported
        )
        self.holder = configuration_holder.ConfigurationHolder(self.clock)
        self.scheduler = scheduler.make_scheduler("a", 1)
        self.told: list[configuration_lib.Configuration] = []
        self.scheduler.set_configuration = self.told.append  # type: ignore[method-assign,assignment]
        self.directory = server_directory.ServerDirectory(
            self.follower,
            decode,
            self.holder,
            self.scheduler,
            self.clock,
            unexported,
        )

    @property
    def names(self) -> set[str]:
        """Returns the servers that the scheduler has."""
        return {server.name for server in self.told[-1].servers}

    async def play(self, *answers: Any) -> None:
        """Lets the follower take the answers, then looks at lapsed ones."""
        self.feed.answers += answers
        with anyio.move_on_after(0.05):
            await self.follower.run()

    async def tend(self) -> None:
        """Runs the directory's own task for a moment."""
        with anyio.move_on_after(0.05):
            await self.directory.run()
