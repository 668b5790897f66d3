"""Parses the settings of the stand-in engine and the stand-in plain service.

The commands of `standin_cli` read them from an INI file.
"""

from collections.abc import MutableMapping
from typing import Any
from typing import Final

import attrs

from figstream import settings_file
from figstream import standin_engine

_DEFAULT_ENGINE_PORT: Final = 9100
_DEFAULT_SERVICE_PORT: Final = 9200
_MAX_SLOTS: Final = 100_000


@attrs.frozen
class Listener:
    """The address on which a stand-in listens; port 0 picks a free one."""

    host: str
    port: int


@attrs.frozen
class EngineSettings:
    """Settings of `figstream stand-in engine`."""

    listener: Listener
    engine: standin_engine.EngineOptions


@attrs.frozen
class ServiceSettings:
    """Settings of `figstream stand-in service`."""

    listener: Listener
    name: str


def _parse_names(value: str) -> object | None:
    names = tuple(name.strip() for name in value.split(",") if name.strip())
    return names or None


_ENGINE_FIELDS: Final = (
    settings_file.Field(
        "engine", "host", "an IP address", settings_file.text, "127.0.0.1"
    ),
    settings_file.integer_field(
        "engine", "port", 0, 65535, _DEFAULT_ENGINE_PORT
    ),
    settings_file.Field("engine", "name", "a unique name", settings_file.text),
    settings_file.Field(
        "engine", "models", "names separated by commas", _parse_names
    ),
    settings_file.integer_field("engine", "slots", 1, _MAX_SLOTS, 16),
    settings_file.integer_field("engine", "waiting_limit", 0, _MAX_SLOTS, 32),
    settings_file.seconds_field("engine", "first_token_s", 0, 60, 0.02),
    settings_file.seconds_field("engine", "between_tokens_s", 0, 60, 0.01),
)
_SERVICE_FIELDS: Final = (
    settings_file.Field(
        "service", "host", "an IP address", settings_file.text, "127.0.0.1"
    ),
    settings_file.integer_field(
        "service", "port", 0, 65535, _DEFAULT_SERVICE_PORT
    ),
    settings_file.Field("service", "name", "a unique name", settings_file.text),
)


def parse_engine(text: str) -> EngineSettings:
    """Checks the settings of a stand-in engine.

    Raises:
      errors.SettingsError: carries each invalid setting found.
    """
    sections = settings_file.parse_sections(text)
    values = settings_file.parse_fields(sections, _ENGINE_FIELDS)
    listener = _make_listener(values)
    return EngineSettings(
        listener,
        standin_engine.EngineOptions(**values),  # type: ignore[arg-type]
    )


def parse_service(text: str) -> ServiceSettings:
    """Checks the settings of a stand-in plain service.

    Raises:
      errors.SettingsError: carries each invalid setting found.
    """
    sections = settings_file.parse_sections(text)
    values = settings_file.parse_fields(sections, _SERVICE_FIELDS)
    return ServiceSettings(_make_listener(values), str(values["name"]))


def _make_listener(values: MutableMapping[str, Any]) -> Listener:
    return Listener(values.pop("host"), values.pop("port"))
