"""Operator commands for customers, classes, backend servers and routes.

`set` reads the item, alters the options given and writes it on the generation
that was read, so that a race is answered with a conflict.
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
_Name = Annotated[str, typer.Argument(help="Its unique name.")]
_Prefix = Annotated[str, typer.Argument(help="Path prefix, such as /render.")]
_Classes = Annotated[
    list[str] | None,
    typer.Option("--class", help="A class it may use; repeat for more."),
]


def _change(
    context: typer.Context, operation: operator_pb2.Operation, base: int = -1
) -> None:
    console = operator_console.console(context)
    if base < 0:
        base = console.client.configuration().generation
    console.change([operation], base)


def _present(items: Any, name: str, new: Any, key: str = "name") -> Any:
    """Returns the item of a name, or the new one with that name."""
    found = next((item for item in items if getattr(item, key) == name), new)
    setattr(found, key, name)
    return found


def _assign(message: Any, **values: Any) -> None:
    """Sets the fields whose values were given."""
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
        float | None, typer.Option(help="Weight in the fair division.")
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
    """Create a customer or change what the options name."""
    with operator_console.reported():
        found = operator_console.console(context).client.configuration()
        item = _present(found.customers, name, operator_pb2.Customer())
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
        float | None, typer.Option(help="Seconds to the whole answer.")
    ] = None,
    preemptible: Annotated[
        bool | None, typer.Option(help="May yield to a higher tier.")
    ] = None,
) -> None:
    """Create a request class or change what the options name."""
    with operator_console.reported():
        found = operator_console.console(context).client.configuration()
        item = _present(found.classes, name, operator_pb2.RequestClass())
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
    """Remove a request class that nothing refers to."""
    with operator_console.reported():
        _change(context, _Operation(remove_class=name))


@classes.command("default")
def set_default_class(context: typer.Context, name: _Name) -> None:
    """Name the class of requests that name none."""
    with operator_console.reported():
        _change(context, _Operation(set_default_class=name))


@servers.command("set")
def set_server(
    context: typer.Context,
    name: _Name,
    url: Annotated[str | None, typer.Option(help="Base address.")] = None,
    zone: Annotated[str | None, typer.Option(help="Its zone.")] = None,
    kind: Annotated[
        str | None, typer.Option(help="'engine' or 'service'.")
    ] = None,
    model: Annotated[
        list[str] | None, typer.Option(help="A model; repeat for more.")
    ] = None,
    service: Annotated[
        str | None, typer.Option(help="Plain service it offers.")
    ] = None,
    slots: Annotated[
        int | None, typer.Option(help="Requests it runs at once.", min=1)
    ] = None,
    request_classes: _Classes = None,
    reclaimable: Annotated[
        bool | None, typer.Option(help="Of the cheaper kind.")
    ] = None,
    cost: Annotated[
        float | None, typer.Option(help="Price of an hour.")
    ] = None,
) -> None:
    """Create a backend server or change what the options name."""
    with operator_console.reported():
        found = operator_console.console(context).client.configuration()
        item = _present(found.servers, name, operator_pb2.BackendServer())
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
    """Send it no new work; what it runs goes on."""
    _set_state(context, name, "draining")


@servers.command("activate")
def activate_server(context: typer.Context, name: _Name) -> None:
    """Send it work again."""
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
        str | None, typer.Option(help="Plain service behind it.")
    ] = None,
    request_class: Annotated[
        str | None, typer.Option("--class", help="Class of the calls.")
    ] = None,
    customer: Annotated[
        list[str] | None, typer.Option(help="May use it; none means all.")
    ] = None,
    is_open: Annotated[
        bool | None, typer.Option("--open/--keyed", help="Needs no key.")
    ] = None,
    idempotent: Annotated[
        bool | None, typer.Option(help="Calls may be repeated.")
    ] = None,
) -> None:
    """Create a route or change what the options name."""
    with operator_console.reported():
        found = operator_console.console(context).client.configuration()
        item = _present(found.routes, prefix, operator_pb2.Route(), "prefix")
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
