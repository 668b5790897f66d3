"""Implements `figstream serve`: runs one daemon until SIGTERM or SIGINT."""

import pathlib

import anyio
import typer

from figstream import daemon as daemon_lib
from figstream import logs
from figstream import metrics as metrics_lib
from figstream import options as options_lib
from figstream import platform_http
from figstream import process_signals
from figstream import settings_reload


def run(options: options_lib.Options, path: pathlib.Path) -> None:
    """Runs a daemon until SIGTERM or SIGINT, then shuts it down.

    Args:
      options: the settings of the daemon.
      path: the settings file, which is checked again at SIGHUP.
    """
    logs.configure(options.log_level)
    anyio.run(_serve, options, path)


async def _serve(options: options_lib.Options, path: pathlib.Path) -> None:
    platform = platform_http.make_platform(
        options.platform_url, options.name, options.platform_timeout_s
    )
    context = daemon_lib.make_context(
        options, platform, metrics_lib.make_metrics()
    )

    def make_daemon() -> daemon_lib.Daemon:
        daemon = daemon_lib.Daemon(context)
        # Scripts read the ports from these lines, since port 0 selects a free
        # one.
        typer.echo(f"callers=http://{options.address}:{daemon.caller_port}")
        typer.echo(f"peers={daemon.peer_address}")
        typer.echo(f"operators={daemon.operator_address}")
        return daemon

    def reload(_: daemon_lib.Daemon) -> None:
        settings_reload.log_changes(options_lib.read, path, options)

    await process_signals.run_daemon(make_daemon, reload)
