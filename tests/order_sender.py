"""Process that holds a lease and stops itself while it sends an order.

Run as `python -m tests.order_sender PLATFORM_URL`. `test_lease` starts the
process, waits until it has stopped, and continues it later with SIGCONT.
"""

import os
import signal
import sys

import anyio
import httpcore

from figstream import backend_network
from figstream import lease
from figstream import platform_api
from figstream import platform_http
from tests import lease_parts

ORDERS_BEFORE_STOP = 4
TIMES = lease.LeaseTimes(duration_s=1.2, order_timeout_s=0.3)
_ATTEMPTS_AFTERWARDS = 20


class _StoppingConnection:
    """Stops the process after it has connected and before it writes."""

    def __init__(self) -> None:
        self.stop = False
        self._backend = backend_network.PacedBackend()
        self._connect = self._backend.connect_tcp

    async def connect_tcp(
        self, host: str, port: int, timeout: float | None = None
    ) -> httpcore.AsyncNetworkStream:
        stream = await self._connect(host, port, timeout)
        if self.stop:
            os.kill(os.getpid(), signal.SIGSTOP)
        return stream


async def _send(url: str) -> None:
    platform = platform_http.make_platform(url, "sender", 5.0)
    context = lease_parts.make_context("sender", 1, platform)
    held = lease.HeldLease(
        "l", "a", context, lease_parts.SingleMembership("sender"), TIMES
    )
    connection = _StoppingConnection()
    backend_network.PacedBackend.connect_tcp = (  # type: ignore[method-assign]
        connection.connect_tcp  # type: ignore[assignment]
    )
    sent = 0
    left = _ATTEMPTS_AFTERWARDS
    while left:
        await held.step()
        fencing = held.fencing()
        left -= sent > ORDERS_BEFORE_STOP
        if fencing is None:
            await anyio.sleep(0.05)
            continue
        sent += 1
        connection.stop = sent == ORDERS_BEFORE_STOP + 1

        def allowed(fencing: int = fencing) -> bool:
            return held.fencing() == fencing

        order = platform_api.ServerOrder(
            f"sender-{sent}",
            platform_api.OrderKind.START,
            "a",
            fencing=fencing,
        )
        await platform.orders.send(order, allowed)


if __name__ == "__main__":
    anyio.run(_send, sys.argv[1])
