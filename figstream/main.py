"""Defines the `figstream` command line; other modules do the actual work."""

import importlib.metadata
import pathlib
import sys
from typing import Annotated
from typing import Final

import typer

from figstream import demo
from figstream import errors
from figstream import operator_cli
from figstream import options
from figstream import serve
from figstream import standin_cli

EXIT_DEMO_FAILED: Final = 1
EXIT_INVALID_SETTINGS: Final = 2

app = typer.Typer(
    help="A router for language-model traffic with service levels.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)

app.add_typer(standin_cli.app, name="stand-in")
app.add_typer(operator_cli.app, name="operator")

ConfigFile = Annotated[
    pathlib.Path, typer.Option("--config", help="The INI settings file.")
]


def _show_version(wanted: bool) -> None:
    if wanted:
        typer.echo(f"figstream {version()}")
        raise typer.Exit


def version() -> str:
    """Returns the installed version, or "0+source" in a work tree."""
    try:
        return importlib.metadata.version("figstream")
    except importlib.metadata.PackageNotFoundError:
        return "0+source"


@app.callback()
def common(
    show_version: Annotated[
        bool,
        typer.Option(
            "--version",
            callback=_show_version,
            is_eager=True,
            help="Show the version and exit.",
        ),
    ] = False,
) -> None:
    """A router for language-model traffic with service levels."""


@app.command("serve")
def run_serve(config: ConfigFile) -> None:
    """Run one daemon until SIGTERM, then complete requests in flight."""
    loaded_options = load_options(config)
    serve.run(loaded_options, config)


@app.command("demo")
def run_demo(
    seconds: Annotated[
        float, typer.Option(help="How long to send requests.")
    ] = demo.DURATION_S,
) -> None:
    """Run a complete system in one process under a mixed load."""
    if not demo.run(seconds):
        raise typer.Exit(EXIT_DEMO_FAILED)


@app.command("check-config")
def check_config(
    file: Annotated[pathlib.Path, typer.Argument(help="The INI file.")],
) -> None:
    """Check a settings file and report every fault in it."""
    loaded_options = load_options(file)
    typer.echo(
        f"{file}: valid settings of VM {loaded_options.name} in "
        f"{loaded_options.zone}"
    )


def load_options(file: pathlib.Path) -> options.Options:
    """Returns the settings, or prints every fault and exits."""
    try:
        return options.read(file)
    except errors.SettingsError as error:
        for fault in error.faults:
            typer.echo(f"{file}: {fault}", err=True)
        sys.exit(EXIT_INVALID_SETTINGS)


def main() -> None:
    """Runs the command line."""
    app()
