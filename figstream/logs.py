"""Logs events as lines of key=value pairs, one line for each event.

Calling code passes only identifiers and numbers; API keys and prompt text
never reach this module.
"""

import json
import logging as std_logging
import re
import time
from typing import Final

from absl import flags
from absl import logging

from figstream import log_stream

_UNQUOTED: Final = re.compile(r"[A-Za-z0-9_\-.:/@+~]+")
_LIBRARY_LOGGERS: Final = ("httpx", "httpcore", "hypercorn", "grpc")
LEVELS: Final = ("debug", "info", "warning", "error")


def configure(level: str) -> None:
    """Directs log lines of the given level and above to standard output."""
    # The lines have no field for these, and looking them up costs as much as
    # formatting.
    std_logging.logThreads = False
    std_logging.logProcesses = False
    std_logging.logMultiprocessing = False
    # absl adds a warning to every line until its flags, which figstream does
    # not use, are marked as parsed.
    flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(level)
    handler = log_stream.BoundedHandler()
    handler.setFormatter(_make_formatter())
    root = std_logging.getLogger()
    for old in list(root.handlers):
        root.removeHandler(old)
    root.addHandler(handler)
    logger = logging.get_absl_logger()
    logger.propagate = True
    logger.setLevel(level.upper())
    # Libraries log addresses and paths in other formats.
    for library in _LIBRARY_LOGGERS:
        std_logging.getLogger(library).setLevel(std_logging.WARNING)


def _make_formatter() -> std_logging.Formatter:
    formatter = std_logging.Formatter(
        "time=%(asctime)s.%(msecs)03dZ level=%(levelname)s %(message)s",
        "%Y-%m-%dT%H:%M:%S",
    )
    formatter.converter = time.gmtime
    return formatter


def quote(value: object) -> str:
    """Returns the value as text, quoted if needed to stay one field."""
    text = str(value)
    if _UNQUOTED.fullmatch(text):
        return text
    return json.dumps(text)


def line(event: str, **fields: object) -> str:
    """Returns the log line of an event."""
    pairs = (f"{key}={quote(value)}" for key, value in fields.items())
    return " ".join((f"event={event}", *pairs))


def debug(event: str, **fields: object) -> None:
    """Logs an event that is useful for debugging only."""
    if logging.vlog_is_on(1):
        logging.debug(line(event, **fields))


def info(event: str, **fields: object) -> None:
    """Logs an event of normal operation."""
    logging.info(line(event, **fields))


def warning(event: str, **fields: object) -> None:
    """Logs an event that may need action by an operator."""
    logging.warning(line(event, **fields))


def error(event: str, **fields: object) -> None:
    """Logs an event that needs action by an operator."""
    logging.error(line(event, **fields))
