"""Reads the settings of a running daemon again and logs what has changed.

Changes need a restart, since addresses and identity are fixed for the life of a
process.
"""

from collections.abc import Callable
import pathlib
from typing import TypeVar

import attrs

from figstream import errors
from figstream import logs

_T = TypeVar("_T", bound=attrs.AttrsInstance)


def log_changes(
    read: Callable[[pathlib.Path], _T], path: pathlib.Path, current: _T
) -> None:
    """Logs which settings differ from those in use, or that they are invalid.

    Args:
      read: reads and checks a settings file.
      path: the settings file.
      current: the settings in use.
    """
    try:
        found = read(path)
    except errors.SettingsError as error:
        logs.error("settings_refused", file=path, detail=str(error))
        return
    changed = [
        field.name
        for field in attrs.fields(type(current))
        if getattr(found, field.name) != getattr(current, field.name)
    ]
    logs.info("settings_read", changed=",".join(changed) or "none")
