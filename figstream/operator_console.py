"""Connects operator commands to a daemon, prints answers, sets exit codes."""

from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
from typing import Any
from typing import Final

import attrs
from google.protobuf import json_format
import typer

from figstream import defaults
from figstream import errors
from figstream import operator_client
from figstream.rpc import operator_pb2

DEFAULT_ADDRESS: Final = f"127.0.0.1:{defaults.OPERATOR_PORT}"


@attrs.frozen
class Console:
    """The connection and output format of an operator command.

    Attributes:
      client: connection to the daemon.
      as_json: whether to print the answer as JSON.
      change_id: id of an earlier change to send again, or "".
    """

    client: operator_client.OperatorClient
    as_json: bool
    change_id: str = ""

    def show(self, answer: Any, lines: Iterable[str]) -> None:
        """Prints an answer as JSON or as the given lines."""
        if self.as_json:
            typer.echo(
                json_format.MessageToJson(
                    answer,
                    preserving_proto_field_name=True,
                    always_print_fields_with_no_presence=True,
                )
            )
            return
        for line in lines:
            typer.echo(line)

    def finish(
        self,
        answer: Any,
        outcome: operator_pb2.Outcome,
        lines: Iterable[str] = (),
    ) -> None:
        """Prints the answer to a change; exits with its code on failure."""
        code = operator_client.exit_code(outcome)
        name = operator_pb2.Result.Name(outcome.result).lower()
        head = f"{name.replace('_', ' ')}: generation {outcome.generation}"
        self.show(answer, (head, *lines) if code == 0 else ())
        if code != 0:
            typer.echo(f"{name.replace('_', ' ')}: {outcome.message}", err=True)
            raise typer.Exit(code)

    def change(
        self, operations: Iterable[operator_pb2.Operation], base: int
    ) -> None:
        """Sends operations based on a generation and prints the outcome."""
        request = operator_pb2.ChangeRequest(
            base_generation=base,
            operations=operations,
            change_id=self.change_id,
        )
        answer = self.client.call("Change", request)
        self.finish(answer, answer.outcome)


def console(context: typer.Context) -> Console:
    """Returns the console created from the options of `figstream operator`."""
    found: Console = context.obj
    return found


@contextlib.contextmanager
def reported() -> Iterator[None]:
    """Prints an expected error on one line and exits with its exit code."""
    try:
        yield
    except operator_client.CallError as error:
        typer.echo(f"error: {error}", err=True)
        raise typer.Exit(error.exit_code) from error
    except errors.ConfigurationError as error:
        typer.echo(f"refused: {error}", err=True)
        raise typer.Exit(operator_client.ExitCode.REFUSED) from error
