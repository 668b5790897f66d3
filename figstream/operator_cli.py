"""Defines the `figstream operator` commands, which cover every gRPC call."""

import pathlib
import time
from typing import Annotated
from typing import Final

import typer

from figstream import errors
from figstream import operator_changeset
from figstream import operator_cli_items
from figstream import operator_cli_keys
from figstream import operator_client
from figstream import operator_console
from figstream import serialization
from figstream.rpc import operator_pb2

app: Final = typer.Typer(
    help=(
        "Operate a running system over gRPC. "
        "Exit codes: 0 done, 3 conflict, 4 refused or invalid, 5 unavailable."
    ),
    no_args_is_help=True,
)
app.add_typer(operator_cli_items.customers, name="customer")
app.add_typer(operator_cli_items.classes, name="class")
app.add_typer(operator_cli_items.servers, name="server")
app.add_typer(operator_cli_items.routes, name="route")
app.add_typer(operator_cli_keys.keys, name="key")


@app.callback()
def connect(
    context: typer.Context,
    address: Annotated[
        str,
        typer.Option(
            envvar="FIGSTREAM_OPERATOR_ADDRESS",
            help="IP:PORT of any daemon's operator port.",
        ),
    ] = operator_console.DEFAULT_ADDRESS,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print answers as JSON.")
    ] = False,
    change_id: Annotated[
        str,
        typer.Option(
            help=(
                "Id of an earlier change whose outcome is unknown; a "
                "change that is sent again with its id is applied once."
            )
        ),
    ] = "",
    token: Annotated[
        str,
        typer.Option(
            envvar="FIGSTREAM_OPERATOR_TOKEN",
            help="Operators' token; prefer the environment variable.",
        ),
    ] = "",
) -> None:
    """Operate a running system over gRPC."""
    client = operator_client.OperatorClient(address, token)
    context.obj = operator_console.Console(client, as_json, change_id)


@app.command()
def apply(
    context: typer.Context,
    file: Annotated[
        pathlib.Path, typer.Argument(help="JSON file with the changes.")
    ],
    base: Annotated[
        int | None,
        typer.Option(
            help="Generation that the file is based on; default: the newest."
        ),
    ] = None,
) -> None:
    """Apply a set of changes atomically; applying it again changes nothing."""
    with operator_console.reported():
        change_set = _read_change_set(file)
        console = operator_console.console(context)
        newest = console.client.configuration()
        operations = operator_changeset.operations(
            change_set, operator_client.to_configuration(newest)
        )
        console.change(operations, newest.generation if base is None else base)


@app.command()
def show(context: typer.Context) -> None:
    """Show the newest configuration, without secrets of keys."""
    with operator_console.reported():
        console = operator_console.console(context)
        newest = console.client.configuration()
        names_by_kind = (
            ("customers", [item.name for item in newest.customers]),
            ("classes", [f"{i.name} (tier {i.tier})" for i in newest.classes]),
            ("servers", [f"{i.name} ({i.state})" for i in newest.servers]),
            ("routes", [item.prefix for item in newest.routes]),
            ("keys", [item.key_id for item in newest.keys]),
        )
        console.show(
            newest,
            (
                f"generation: {newest.generation}",
                f"default class: {newest.default_class}",
                *(
                    f"{kind}: {', '.join(names)}"
                    for kind, names in names_by_kind
                ),
            ),
        )


@app.command()
def status(context: typer.Context) -> None:
    """Show the active generation of each zone and daemon."""
    with operator_console.reported():
        console = operator_console.console(context)
        answer = console.client.call(
            "GetStatus", operator_pb2.GetStatusRequest()
        )
        accepted = "unknown, the platform is unreachable"
        if answer.HasField("accepted_generation"):
            accepted = str(answer.accepted_generation)
        daemons = (
            f"{item.name}  {item.zone}  {item.address}  "
            f"generation {item.generation}"
            for item in answer.daemons
        )
        console.show(
            answer,
            (
                f"accepted generation: {accepted}",
                f"active in {answer.answered_by}: {answer.generation}",
                *operator_cli_keys.zone_lines(answer.zones),
                *daemons,
            ),
        )


@app.command()
def explain(
    context: typer.Context,
    request_id: Annotated[
        str, typer.Argument(help="Request id; default: the latest requests.")
    ] = "",
    latest: Annotated[
        int, typer.Option(help="Number of latest records.", min=1, max=1000)
    ] = 20,
) -> None:
    """Show why requests were refused, delayed, retried or routed."""
    with operator_console.reported():
        console = operator_console.console(context)
        answer = console.client.call(
            "Explain",
            operator_pb2.ExplainRequest(request_id=request_id, latest=latest),
        )
        silent = (f"no answer from {name}" for name in answer.silent)
        console.show(answer, (*map(_decision_line, answer.decisions), *silent))


def _decision_line(item: operator_pb2.Decision) -> str:
    at = time.strftime("%H:%M:%S", time.gmtime(item.at))
    fields = (
        at,
        item.daemon,
        item.request_id,
        item.decision,
        item.reason,
        item.server and f"server={item.server}",
        item.customer and f"customer={item.customer}",
        item.request_class and f"class={item.request_class}",
        item.detail,
    )
    return "  ".join(field for field in fields if field)


def _read_change_set(file: pathlib.Path) -> operator_changeset.ChangeSet:
    try:
        text = file.read_bytes()
    except OSError as error:
        raise errors.ConfigurationError(
            f"{file} can't be read ({error.strerror}); check the path"
        ) from error
    return serialization.from_json(text, operator_changeset.ChangeSet)
