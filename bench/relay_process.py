"""Runs the relaying process of the relay benchmark: plain or a daemon.

Usage: python -m bench.relay_process plain|daemon SOURCE_PORT. The process
prints its port and the key to use ("-" for the plain relay), and runs until
it is terminated.
"""

import sys

import anyio
import httpx

from figstream import api_key
from figstream import asgi
from figstream import backend_server
from figstream import configuration
from figstream import customer
from figstream import daemon
from figstream import demo_stack
from figstream import http_server
from figstream import inbound
from figstream import metrics
from figstream import options
from figstream import platform_memory


class PlainRelay:
    """Relays each token in a separate write."""

    def __init__(self, port: int) -> None:
        """Initializes a relay to the backend server at a port."""
        self._url = f"http://{demo_stack.HOST}:{port}{inbound.CHAT_PATH}"
        limits = httpx.Limits(max_connections=None)
        self._client = httpx.AsyncClient(limits=limits, timeout=None)

    async def application(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Serves one HTTP request."""
        body = await asgi.read_body(receive, 1_000_000)
        async with self._client.stream(
            "POST", self._url, content=body
        ) as response:
            kind = [(b"content-type", asgi.EVENT_STREAM)]
            await asgi.send_start(send, response.status_code, kind)
            async for chunk in response.aiter_raw():
                await asgi.send_body(send, chunk, more=True)
            await asgi.send_body(send, b"", more=False)


async def _run_plain(port: int) -> None:
    app = PlainRelay(port).application
    server = http_server.HttpServer(app, demo_stack.HOST, 0)
    print(server.port, "-", flush=True)
    await server.serve()


async def _run_daemon(port: int) -> None:
    issued = api_key.issue("bench")
    settings = options.Options(
        "bench", "zone-a", "bench", demo_stack.HOST, 0, 0, 0,
        "http://127.0.0.1:9", log_level="warning",
    )  # fmt: skip
    platform = platform_memory.MemoryPlatform().interfaces()
    context = daemon.make_context(settings, platform, metrics.make_metrics())
    context.holder.replace(_configuration(issued, port))
    context.holder.confirm(1)
    running = daemon.Daemon(context)
    print(running.caller_port, issued.text, flush=True)
    await running.run()


def _configuration(
    issued: api_key.IssuedKey, port: int
) -> configuration.Configuration:
    server = backend_server.BackendServer(
        "source",
        f"http://{demo_stack.HOST}:{port}",
        "zone-a",
        models=(demo_stack.MODEL,),
        slots=1_000,
    )
    return configuration.Configuration(
        generation=1,
        customers=(customer.Customer("bench", classes=("chat",)),),
        keys=(issued.record,),
        classes=(demo_stack.CHAT,),
        servers=(server,),
        default_class="chat",
    )


def main() -> None:
    """Runs the relay that the command line names."""
    run = _run_plain if sys.argv[1] == "plain" else _run_daemon
    anyio.run(run, int(sys.argv[2]))


if __name__ == "__main__":
    main()
