"""Operator commands that create, list, withdraw and remove keys."""

from collections.abc import Iterable
from typing import Annotated
from typing import Final

import typer

from figstream import operator_console
from figstream.rpc import operator_pb2

keys: Final = typer.Typer(
    help="Create, list, withdraw and remove keys.", no_args_is_help=True
)

_KeyId = Annotated[str, typer.Argument(help="Id of the key; see 'key list'.")]


@keys.command("create")
def create_key(
    context: typer.Context,
    customer: Annotated[
        str, typer.Argument(help="Customer that the key belongs to.")
    ],
) -> None:
    """Create a key and show it; it can't be shown again."""
    with operator_console.reported():
        console = operator_console.console(context)
        request = operator_pb2.CreateKeyRequest(
            base_generation=console.client.configuration().generation,
            customer=customer,
        )
        answer = console.client.call("CreateKey", request)
        lines = (f"key id: {answer.key_id}", f"key: {answer.key}")
        console.finish(answer, answer.outcome, lines)


@keys.command("withdraw")
def withdraw_key(
    context: typer.Context,
    key_id: _KeyId,
    wait_s: Annotated[
        float,
        typer.Option(
            help="Longest wait for confirmation by the zones, in seconds."
        ),
    ] = 5.0,
) -> None:
    """Withdraw a key and show which zones have confirmed it."""
    with operator_console.reported():
        console = operator_console.console(context)
        request = operator_pb2.WithdrawKeyRequest(
            base_generation=console.client.configuration().generation,
            key_id=key_id,
            wait_s=wait_s,
        )
        answer = console.client.call("WithdrawKey", request)
        console.finish(answer, answer.outcome, zone_lines(answer.zones))


@keys.command("remove")
def remove_key(context: typer.Context, key_id: _KeyId) -> None:
    """Remove the record of a withdrawn key."""
    with operator_console.reported():
        console = operator_console.console(context)
        base = console.client.configuration().generation
        console.change([operator_pb2.Operation(remove_key=key_id)], base)


@keys.command("list")
def list_keys(context: typer.Context) -> None:
    """List the ids of keys; the secrets of keys are not stored."""
    with operator_console.reported():
        console = operator_console.console(context)
        newest = console.client.configuration()
        lines = (
            f"{item.key_id}  {item.customer}"
            f"{'  withdrawn' if item.withdrawn else ''}"
            for item in newest.keys
        )
        answer = operator_pb2.ConfigurationAnswer(
            generation=newest.generation, keys=newest.keys
        )
        console.show(answer, lines)


def zone_lines(zones: Iterable[operator_pb2.ZoneStatus]) -> Iterable[str]:
    """Returns a line for each zone, with its state of confirmation."""
    for zone in zones:
        if not zone.reachable:
            yield f"{zone.zone}: unreachable, not confirmed"
        elif zone.behind:
            yield f"{zone.zone}: not confirmed by {', '.join(zone.behind)}"
        else:
            yield f"{zone.zone}: confirmed by {len(zone.in_force)} daemons"
