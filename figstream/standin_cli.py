"""Defines the commands that run stand-ins for the outside systems.

There is one command each for the platform, a model engine and a plain service.
"""

from collections.abc import Callable
import ipaddress
import os
import pathlib
import sys
from typing import Annotated
from typing import Final
from typing import TypeVar

import anyio
import attrs
import typer

from figstream import errors
from figstream import http_server
from figstream import platform_api
from figstream import platform_memory
from figstream import settings_file
from figstream import standin_engine
from figstream import standin_platform
from figstream import standin_service
from figstream import standin_settings

_T = TypeVar("_T")
ConfigFile = Annotated[
    pathlib.Path, typer.Option("--config", help="The INI settings file.")
]

_EXIT_INVALID: Final = 2
_EXIT_CRASHED: Final = 70
_DEFAULT_PORT: Final = 9000
_VMS_SECTION: Final = "vms"

app = typer.Typer(
    help="Stand-ins for the platform, for tests and demonstrations.",
    no_args_is_help=True,
)


@attrs.frozen
class PlatformOptions:
    """Settings of the stand-in platform.

    Attributes:
      host: IP address to bind.
      port: port to bind; 0 picks a free one.
      weight_wait_s: seconds that each load of model weights has to wait.
      vms: VMs that the platform lists.
    """

    host: str
    port: int
    weight_wait_s: float
    vms: tuple[platform_api.VirtualMachine, ...]


def _parse_ip_address(value: str) -> object | None:
    try:
        return str(ipaddress.ip_address(value))
    except ValueError:
        return None


_PLATFORM_FIELDS: Final = (
    settings_file.Field(
        "platform", "host", "an IP address", _parse_ip_address, "127.0.0.1"
    ),
    settings_file.integer_field("platform", "port", 0, 65535, _DEFAULT_PORT),
    settings_file.seconds_field("platform", "weight_wait_s", 0, 3600, 0),
)


def parse_platform_options(text: str) -> PlatformOptions:
    """Checks the settings of the stand-in platform.

    Raises:
      errors.SettingsError: carries each invalid setting found.
    """
    sections = settings_file.parse_sections(text)
    vm_entries = sections.pop(_VMS_SECTION, {})
    vms = [_parse_vm(name, value) for name, value in vm_entries.items()]
    faults = [vm for vm in vms if isinstance(vm, errors.SettingsFault)]
    if faults:
        raise errors.SettingsError(faults)
    values = settings_file.parse_fields(sections, _PLATFORM_FIELDS)
    values[_VMS_SECTION] = tuple(vms)
    return PlatformOptions(**values)  # type: ignore[arg-type]


def _parse_vm(
    name: str, value: str
) -> platform_api.VirtualMachine | errors.SettingsFault:
    match value.split():
        case [address, zone]:
            return platform_api.VirtualMachine(name, address, zone)
        case _:
            allowed = "IP address and availability zone"
            return errors.SettingsFault(_VMS_SECTION, name, value, allowed)


@app.callback()
def common() -> None:
    """Stand-ins for the platform, for tests and demonstrations."""


@app.command("platform")
def run_platform(
    file: ConfigFile,
) -> None:
    """Serve the platform from memory until interrupted."""
    options = _load_settings(file, parse_platform_options)
    platform = platform_memory.MemoryPlatform()
    platform.weights.wait_s = options.weight_wait_s
    platform.vms.vms = {vm.name: vm for vm in options.vms}
    standin = standin_platform.make_app(platform)
    listener = standin_settings.Listener(options.host, options.port)
    _serve("platform", standin, listener)


@app.command("engine")
def run_engine(file: ConfigFile) -> None:
    """Serve a stand-in model engine until interrupted."""
    options = _load_settings(file, standin_settings.parse_engine)
    # A request that crashes the engine ends the process at once, as it would
    # end a real engine.
    engine = standin_engine.StandInEngine(
        options.engine, on_crash=lambda: os._exit(_EXIT_CRASHED)
    )
    _serve("engine", engine.application, options.listener)


@app.command("service")
def run_service(file: ConfigFile) -> None:
    """Serve a stand-in plain service until interrupted."""
    options = _load_settings(file, standin_settings.parse_service)
    service = standin_service.StandInService(options.name)
    _serve("service", service.application, options.listener)


def _serve(
    kind: str,
    application: http_server.Application,
    listener: standin_settings.Listener,
) -> None:
    server = http_server.HttpServer(application, listener.host, listener.port)
    typer.echo(f"{kind}=http://{listener.host}:{server.port}")
    anyio.run(server.serve)


def _load_settings(file: pathlib.Path, parse: Callable[[str], _T]) -> _T:
    try:
        return parse(settings_file.read_text(file))
    except errors.SettingsError as error:
        for fault in error.faults:
            typer.echo(f"{file}: {fault}", err=True)
        sys.exit(_EXIT_INVALID)
