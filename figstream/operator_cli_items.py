"""Operator commands for customers, classes, backend servers and routes.

`set` reads the item, changes the given fields and sends the item with the
generation that was read. If another operator has changed the configuration in
between, the daemon answers with a conflict.
"""

from typing import Annotated
from typing import Any
from typing import Final

import typer

from figstream import operator_console
from figstream.rpc import operator_pb2

customers: Final = typer.Typer(
    help="Create, change and remove customers.", no_args_is_help=True
)
classes: Final = typer.Typer(
    help="Create, change and remove request classes.", no_args_is_help=True
)
servers: Final = typer.Typer(
    help="Create, change, drain and remove backend servers.",
    no_args_is_help=True,
)
routes: Final = typer.Typer(
    help="Create, change and remove routes to plain services.",
    no_args_is_help=True,
)

_Operation = operator_pb2.Operation
_Name = Annotated[str, typer.Argument(help="Unique name of the item.")]
_Prefix = Annotated[str, typer.Argument(help="Path prefix, such as /render.")]
_Classes = Annotated[
    list[str] | None,
    typer.Option("--class", help="Permitted request class; repeat for more."),
]


def _change(
    context: typer.Context, operation: operator_pb2.Operation, base: int = -1
) -> None:
    console = operator_console.console(context)
    if base < 0:
        base = console.client.configuration().generation
    console.change([operation], base)


def _find_or_new(items: Any, name: str, new: Any, key: str = "name") -> Any:
    """Returns the item with the name, or `new` with its name set."""
    found = next((item for item in items if getattr(item, key) == name), new)
    setattr(found, key, name)
    return found


def _assign(message: Any, **values: Any) -> None:
    """Sets the fields whose values are not None."""
    for name, value in values.items():
        if isinstance(value, list):
            del getattr(message, name)[:]
            getattr(message, name).extend(value)
        elif value is not None:
            setattr(message, name, value)


@customers.command("set")
def set_customer(
    context: typer.Context,
    name: _Name,
    weight: Annotated[
        float | None, typer.Option(help="Weight in fair sharing.")
    ] = None,
    requests_per_s: Annotated[
        float | None, typer.Option(help="Limit, 0 for none.")
    ] = None,
    tokens_per_s: Annotated[
        float | None, typer.Option(help="Limit, 0 for none.")
    ] = None,
    concurrency: Annotated[
        int | None, typer.Option(help="Limit, 0 for none.")
    ] = None,
    request_classes: _Classes = None,
) -> None:
    """Create a customer or change the fields given as options."""
    with operator_console.reported():
        found = operator_console.console(context).client.configuration()
        item = _find_or_new(found.customers, name, operator_pb2.Customer())
        _assign(item, weight=weight, classes=request_classes)
        _assign(
            item.limits,
            requests_per_s=requests_per_s,
            tokens_per_s=tokens_per_s,
            concurrency=concurrency,
        )
        _change(context, _Operation(put_customer=item), found.generation)


@customers.command("remove")
def remove_customer(context: typer.Context, name: _Name) -> None:
    """Remove a customer whose keys are all withdrawn."""
    with operator_console.reported():
        _change(context, _Operation(remove_customer=name))


@classes.command("set")
def set_class(
    context: typer.Context,
    name: _Name,
    tier: Annotated[
        int | None, typer.Option(help="0 is the highest tier.", min=0)
    ] = None,
    minimum_share: Annotated[
        float | None, typer.Option(help="Share of dispatches, 0 to 1.")
    ] = None,
    first_token_s: Annotated[
        float | None, typer.Option(help="Seconds to the first token.")
    ] = None,
    between_tokens_s: Annotated[
        float | None, typer.Option(help="Mean seconds between tokens.")
    ] = None,
    deadline_s: Annotated[
        float | None, typer.Option(help="Seconds to the complete answer.")
    ] = None,
    preemptible: Annotated[
        bool | None, typer.Option(help="May be preempted by a higher tier.")
    ] = None,
) -> None:
    """Create a request class or change the fields given as options."""
    with operator_console.reported():
        found = operator_console.console(context).client.configuration()
        item = _find_or_new(found.classes, name, operator_pb2.RequestClass())
        _assign(
            item,
            tier=tier,
            minimum_share=minimum_share,
            preemptible=preemptible,
        )
        _assign(
            item.service_level,
            first_token_s=first_token_s,
            between_tokens_s=between_tokens_s,
            deadline_s=deadline_s,
        )
        _change(context, _Operation(put_class=item), found.generation)


@classes.command("remove")
def remove_class(context: typer.Context, name: _Name) -> None:
    """Remove a request class to which no other item refers."""
    with operator_console.reported():
        _change(context, _Operation(remove_class=name))


@classes.command("default")
def set_default_class(context: typer.Context, name: _Name) -> None:
    """Set the class of requests that name no class."""
    with operator_console.reported():
        _change(context, _Operation(set_default_class=name))


@servers.command("set")
def set_server(
    context: typer.Context,
    name: _Name,
    url: Annotated[str | None, typer.Option(help="Base address.")] = None,
    zone: Annotated[str | None, typer.Option(help="Availability zone.")] = None,
    kind: Annotated[
        str | None, typer.Option(help="'engine' or 'service'.")
    ] = None,
    model: Annotated[
        list[str] | None,
        typer.Option(help="Model that it serves; repeat for more."),
    ] = None,
    service: Annotated[
        str | None, typer.Option(help="Plain service that it offers.")
    ] = None,
    slots: Annotated[
        int | None,
        typer.Option(help="Requests that it runs concurrently.", min=1),
    ] = None,
    request_classes: _Classes = None,
    reclaimable: Annotated[
        bool | None, typer.Option(help="Can be taken away at seconds' notice.")
    ] = None,
    cost: Annotated[
        float | None, typer.Option(help="Cost of one hour.")
    ] = None,
) -> None:
    """Create a backend server or change the fields given as options."""
    with operator_console.reported():
        found = operator_console.console(context).client.configuration()
        item = _find_or_new(found.servers, name, operator_pb2.BackendServer())
        _assign(
            item,
            url=url,
            zone=zone,
            kind=kind,
            models=model,
            service=service,
            slots=slots,
            classes=request_classes,
            reclaimable=reclaimable,
            cost=cost,
        )
        _change(context, _Operation(put_server=item), found.generation)


@servers.command("remove")
def remove_server(context: typer.Context, name: _Name) -> None:
    """Remove a backend server; drain it first."""
    with operator_console.reported():
        _change(context, _Operation(remove_server=name))


@servers.command("drain")
def drain_server(context: typer.Context, name: _Name) -> None:
    """Stop sending new requests to a server; running ones continue."""
    _set_state(context, name, "draining")


@servers.command("activate")
def activate_server(context: typer.Context, name: _Name) -> None:
    """Resume sending requests to a drained backend server."""
    _set_state(context, name, "active")


def _set_state(context: typer.Context, name: str, state: str) -> None:
    wanted = operator_pb2.ServerState(name=name, state=state)
    with operator_console.reported():
        _change(context, _Operation(set_server_state=wanted))


@routes.command("set")
def set_route(
    context: typer.Context,
    prefix: _Prefix,
    service: Annotated[
        str | None, typer.Option(help="Plain service that the route leads to.")
    ] = None,
    request_class: Annotated[
        str | None, typer.Option("--class", help="Request class of the calls.")
    ] = None,
    customer: Annotated[
        list[str] | None,
        typer.Option(help="Customer that may use the route; default: all."),
    ] = None,
    is_open: Annotated[
        bool | None,
        typer.Option("--open/--keyed", help="Whether calls need no key."),
    ] = None,
    idempotent: Annotated[
        bool | None, typer.Option(help="Whether calls may be retried.")
    ] = None,
) -> None:
    """Create a route or change the fields given as options."""
    with operator_console.reported():
        found = operator_console.console(context).client.configuration()
        item = _find_or_new(
            found.routes, prefix, operator_pb2.Route(), "prefix"
        )
        _assign(
            item,
            service=service,
            request_class=request_class,
            customers=customer,
            open=is_open,
            idempotent=idempotent,
        )
        _change(context, _Operation(put_route=item), found.generation)


@routes.command("remove")
def remove_route(context: typer.Context, prefix: _Prefix) -> None:
    """Remove a route."""
    with operator_console.reported():
        _change(context, _Operation(remove_route=prefix))
