"""Implements `figstream serve`: runs one daemon until SIGTERM or SIGINT."""

import signal

import anyio
import typer

from figstream import daemon as daemon_lib
from figstream import logs
from figstream import metrics as metrics_lib
from figstream import options as options_lib
from figstream import platform_http


def run(options: options_lib.Options) -> None:
    """Runs a daemon until SIGTERM or SIGINT, then shuts it down."""
    logs.configure(options.log_level)
    anyio.run(_serve, options)


async def _serve(options: options_lib.Options) -> None:
    platform = platform_http.make_platform(
        options.platform_url, options.name, options.platform_timeout_s
    )
    context = daemon_lib.make_context(
        options, platform, metrics_lib.make_metrics()
    )
    daemon = daemon_lib.Daemon(context)
    # Scripts read the ports from these lines, since port 0 selects a free one.
    typer.echo(f"callers=http://{options.address}:{daemon.caller_port}")
    typer.echo(f"peers={daemon.peer_address}")
    typer.echo(f"operators={daemon.operator_address}")
    async with anyio.create_task_group() as group:
        group.start_soon(_stop_on_signal, daemon)
        await daemon.run()
        group.cancel_scope.cancel()


async def _stop_on_signal(daemon: daemon_lib.Daemon) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            await daemon.shut_down()
            return
