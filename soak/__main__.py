"""Command line of the soak: plays seeds and prints the broken promises."""

import pathlib
import random
import tempfile
from typing import Annotated
from typing import Final

import anyio
import typer

from figstream import logs
from soak import system

_SEED_BITS: Final = 32
_BROKEN_EXIT_CODE: Final = 1


def _print_result(result: system.Result, folder: pathlib.Path) -> None:
    verdict = "broken" if result.broken else "kept"
    typer.echo(
        f"seed={result.seed} {verdict} sent={result.sent} "
        f"served={result.served} events={len(result.events)} "
        f"builds={result.builds!r}"
    )
    if not result.broken:
        return
    for event in result.events:
        typer.echo(
            f"  {event.at_s:5.2f} s {event.kind.value} target={event.target} "
            f"for_s={event.for_s:.2f} draw={event.draw}"
        )
    for line in result.broken:
        typer.echo(f"  broken: {line}")
    typer.echo(f"  logs: {folder}")


def _run(
    seeds: Annotated[
        list[int] | None,
        typer.Argument(help="Seeds to play; random ones if omitted."),
    ] = None,
    count: Annotated[
        int,
        typer.Option(min=1, help="Number of seeds to play if none are given."),
    ] = 1,
    first: Annotated[
        int | None, typer.Option(help="First of the consecutive seeds to play.")
    ] = None,
    old_build: Annotated[
        pathlib.Path | None,
        typer.Option(
            help="Folder with another commit; daemons go from it to this one.",
            exists=True,
            file_okay=False,
            resolve_path=True,
        ),
    ] = None,
) -> None:
    """Plays the chosen seeds one after the other."""
    logs.configure("error")
    chosen = list(seeds or [])
    if not chosen and first is not None:
        chosen = list(range(first, first + count))
    if not chosen:
        generator = random.SystemRandom()
        chosen = [generator.getrandbits(_SEED_BITS) for _ in range(count)]
    broken = 0
    for seed in chosen:
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        result = anyio.run(system.play, seed, folder, old_build)
        _print_result(result, folder)
        broken += bool(result.broken)
    typer.echo(f"{len(chosen)} seeds, {broken} with broken promises")
    raise typer.Exit(_BROKEN_EXIT_CODE if broken else 0)


typer.run(_run)
