"""A server directory for tests, with a feed that the test scripts."""

from collections.abc import Callable
from collections.abc import Mapping
import types
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

# Seconds within which a change must become active.
CHANGE_S = 2.0


class ScriptedFeed:
    """A feed that returns answers queued by the test, waiting if none is left.

    An answer that is a function is called when the answer is due.

    Attributes:
      answers: the answers still to return.
      call_timeouts: timeout of each call so far, None for a snapshot.
    """

    def __init__(self) -> None:
        self.answers: list[Any] = []
        self.call_timeouts: list[float | None] = []

    async def snapshot(
        self,
        kind: str,
        *,
        stale: bool = False,
        on_part: platform_api.PartListener = platform_api.ignore_part,
    ) -> Any:
        self.call_timeouts.append(None)
        return await self._next()

    async def changes(
        self,
        kind: str,
        position: int,
        timeout_s: float,
        on_part: platform_api.PartListener = platform_api.ignore_part,
    ) -> Any:
        self.call_timeouts.append(timeout_s)
        return await self._next()

    async def _next(self) -> Any:
        if not self.answers:
            await anyio.sleep_forever()
        await anyio.lowlevel.checkpoint()
        answer = self.answers.pop(0)
        return answer() if isinstance(answer, Callable) else answer  # type: ignore[arg-type]


def decode(item: platform_api.StoredItem) -> backend_server.BackendServer:
    if isinstance(item.value, dict) and "zone" in item.value:
        state = {
            "ready": backend_server.ServerState.ACTIVE,
            "draining": backend_server.ServerState.DRAINING,
        }
        return backend_server.BackendServer(
            item.name,
            "http://10.0.0.1:1",
            item.value["zone"],
            service="s",
            state=state[item.value["state"]],
            started_ms=item.value["run"],
        )
    if not isinstance(item.value, str):
        raise errors.ConfigurationError("no text")
    return backend_server.BackendServer(
        item.name, "http://10.0.0.1:1", item.value, service="s"
    )


def item(name: str, version: int = 1, value: Any = "a") -> Any:
    return platform_api.StoredItem(name, version, value)


class DirectoryFixture:
    """A directory with a scripted feed.

    Attributes:
      applied_configurations: configurations set at the scheduler so far.
    """

    def __init__(
        self,
        emptied_zones: frozenset[str] | None = frozenset(),
        regions: Mapping[str, str] = types.MappingProxyType({}),
    ) -> None:
        self.clock = clock_lib.ManualClock(100.0)
        self.feed = ScriptedFeed()
        unexported = metrics.make_unexported_metrics()
        self.follower = object_follower.ObjectFollower(
            "servers", self.feed, self.clock, unexported, CHANGE_S
        )
        self.holder = configuration_holder.ConfigurationHolder(self.clock)
        self.scheduler = scheduler.make_scheduler("a", 1)
        self.applied_configurations: list[configuration_lib.Configuration] = []
        self.scheduler.set_configuration = self.applied_configurations.append  # type: ignore[method-assign,assignment]
        self.directory = server_directory.ServerDirectory(
            self.follower,
            decode,
            self.holder,
            self.scheduler,
            self.clock,
            unexported,
            emptied_zones,
            regions,
        )

    @property
    def names(self) -> set[str]:
        """Returns the names of the servers last set at the scheduler."""
        return {
            server.name for server in self.applied_configurations[-1].servers
        }

    async def run_follower(self, *answers: Any) -> None:
        """Queues answers and runs the follower until it has received them."""
        self.feed.answers += answers
        with anyio.move_on_after(0.05):
            await self.follower.run()

    async def run_directory(self) -> None:
        """Runs the directory's background task for 0.05 s."""
        with anyio.move_on_after(0.05):
            await self.directory.run()
