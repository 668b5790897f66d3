"""Encodes and decodes the project's attrs classes as JSON.

Stored objects, settings and usage reports use this encoding.
"""

from typing import Any
from typing import Final
from typing import TypeVar

import attrs
import cattrs
import cattrs.gen
import cattrs.preconf.orjson
import orjson

from figstream import errors

_T = TypeVar("_T")

# Metadata of a field that is known only while a daemon runs and is not encoded.
# Builds that lack the field then read the object.
NOT_ENCODED: Final = {"figstream_not_encoded": True}

_converter = cattrs.preconf.orjson.make_converter(forbid_extra_keys=True)


def _fields_not_encoded(target_class: Any) -> list[str]:
    return [
        field.name
        for field in attrs.fields(target_class)
        if NOT_ENCODED.items() <= field.metadata.items()
    ]


def _has_fields_not_encoded(target_class: Any) -> bool:
    return attrs.has(target_class) and bool(_fields_not_encoded(target_class))


def _omitted(target_class: Any) -> dict[str, Any]:
    omit = cattrs.gen.override(omit=True)
    return dict.fromkeys(_fields_not_encoded(target_class), omit)


_converter.register_unstructure_hook_factory(
    _has_fields_not_encoded,
    lambda target_class: cattrs.gen.make_dict_unstructure_fn(
        target_class, _converter, **_omitted(target_class)
    ),
)
_converter.register_structure_hook_factory(
    _has_fields_not_encoded,
    lambda target_class: cattrs.gen.make_dict_structure_fn(
        target_class,
        _converter,
        _cattrs_forbid_extra_keys=True,
        **_omitted(target_class),
    ),
)


def to_json(value: object) -> bytes:
    """Encodes an attrs object as JSON with a stable order of keys."""
    return orjson.dumps(
        _converter.unstructure(value), option=orjson.OPT_SORT_KEYS
    )


def to_value(value: object) -> object:
    """Returns an attrs object as the value that its JSON decodes to."""
    return orjson.loads(to_json(value))


def from_json(data: bytes | str, target_class: type[_T]) -> _T:
    """Decodes JSON into an attrs class.

    Raises:
      errors.ConfigurationError: the data is not JSON that encodes the class.
    """
    try:
        return from_value(orjson.loads(data), target_class)
    except orjson.JSONDecodeError as error:
        raise errors.ConfigurationError(
            f"not a valid {target_class.__name__}: {error}; correct the JSON"
        ) from error


def from_value(value: object, target_class: type[_T]) -> _T:
    """Converts decoded JSON to an attrs class.

    Raises:
      errors.ConfigurationError: the value does not match the class.
    """
    try:
        return _converter.structure(value, target_class)
    except (
        cattrs.BaseValidationError,
        ValueError,
        TypeError,
        # A list or a text in place of an object has no keys.
        AttributeError,
    ) as error:
        found = "; ".join(_reasons(error))
        raise errors.ConfigurationError(
            f"not a valid {target_class.__name__}: {found}; "
            "correct the fields named"
        ) from error


def _reasons(error: BaseException) -> list[str]:
    if isinstance(error, cattrs.BaseValidationError):
        return cattrs.transform_error(error)
    return [str(error)]
