"""Describes errors for log lines.

A group says only how many errors it has, so each error inside is described.
"""

from collections.abc import Iterator
import traceback

# Of a group, enough to see whether all errors are alike.
_MAX_ERRORS = 3


def kind_of(error: BaseException) -> str:
    """Returns the type of an error, or those of the errors in a group."""
    kinds = dict.fromkeys(type(item).__name__ for item in _leaves(error))
    names = ",".join(list(kinds)[:_MAX_ERRORS])
    if isinstance(error, BaseExceptionGroup):
        return f"{type(error).__name__}({names})"
    return names


def describe(error: BaseException) -> str:
    """Returns type, text and place of an error, or of those in a group."""
    errors = list(_leaves(error))
    found = [_describe_one(item) for item in errors[:_MAX_ERRORS]]
    hidden = len(errors) - len(found)
    return "; ".join([*found, f"{hidden} more"] if hidden else found)


def _leaves(error: BaseException) -> Iterator[BaseException]:
    if not isinstance(error, BaseExceptionGroup):
        yield error
        return
    for item in error.exceptions:
        yield from _leaves(item)


def _describe_one(error: BaseException) -> str:
    text = f"{type(error).__name__}: {error}".rstrip(": ")
    frames = traceback.extract_tb(error.__traceback__, limit=-1)
    if not frames:
        return text
    place = frames[-1]
    file_name = place.filename.rpartition("/")[2]
    return f"{text} at {file_name}:{place.lineno}:{place.name}"
