"""Passes the signals that a process receives to its daemon.

The default action of each of these signals ends the process, which would break
every request in flight. They are therefore handled from before the daemon binds
its sockets until its requests have ended, and ignored until the process exits.
"""

import asyncio
from collections.abc import Callable
import signal
from typing import Final
from typing import Protocol
from typing import TypeVar

import anyio

from figstream import logs

_STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)
_SIGNALS: Final = (*_STOP_SIGNALS, signal.SIGHUP)


class Daemon(Protocol):
    """A daemon that can be stopped and asked to reload its settings."""

    async def run(self) -> None:
        """Runs until `shut_down`, then finishes requests in flight."""

    async def shut_down(self) -> None:
        """Starts a graceful shutdown."""


_D = TypeVar("_D", bound=Daemon)


async def run_daemon(
    make_daemon: Callable[[], _D], reload: Callable[[_D], None]
) -> None:
    """Runs a daemon until its shutdown is complete.

    SIGTERM and SIGINT shut the daemon down, SIGHUP reloads its settings. When
    the function returns, the process ignores all three, since its remaining
    work is to exit.

    Args:
      make_daemon: creates the daemon and binds its sockets.
      reload: reads the settings of a daemon again.
    """
    loop = asyncio.get_running_loop()
    received: asyncio.Queue[int] = asyncio.Queue()

    def pass_on(number: int, _: object) -> None:
        loop.call_soon_threadsafe(received.put_nowait, number)

    # anyio and asyncio restore the default action when they remove a handler.
    # These handlers are replaced without a moment in between.
    for number in _SIGNALS:
        signal.signal(number, pass_on)
    try:
        daemon = make_daemon()
        async with anyio.create_task_group() as group:
            group.start_soon(_follow, received, daemon, reload)
            await daemon.run()
            group.cancel_scope.cancel()
    finally:
        for number in _SIGNALS:
            signal.signal(number, signal.SIG_IGN)


async def _follow(
    received: asyncio.Queue[int], daemon: _D, reload: Callable[[_D], None]
) -> None:
    stopping = False
    async with anyio.create_task_group() as group:
        while True:
            number = await received.get()
            logs.info(
                "signal", name=signal.Signals(number).name, stopping=stopping
            )
            if number not in _STOP_SIGNALS:
                reload(daemon)
            elif not stopping:
                stopping = True
                group.start_soon(daemon.shut_down)
