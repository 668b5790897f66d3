"""Encodes stored objects for other daemons in few bytes.

A configuration of a thousand routes is large, and a change touches a few of
them. Objects are compressed, and a receiver names the versions of large objects
that it has. If the sender has such a version too, the version is the dictionary
of the compression, so that little more than the difference is sent.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any
from typing import Final

import attrs
import orjson
import zstandard

from figstream import bounded_records
from figstream import errors
from figstream import platform_api

# Compressed whole, smaller objects take about one packet.
_LARGE_BYTES: Final = 4_096
# Versions of one object that a receiver may have fallen behind by.
_MAX_VERSIONS: Final = 8
# Bounds the versions of all objects of a daemon.
_MAX_LARGE_OBJECTS: Final = 32
_COMPRESSION_LEVEL: Final = 3
# The longest distance of a match: an object and its dictionary of 1 MB each.
_MAX_WINDOW_LOG: Final = 21
_MIN_WINDOW_LOG: Final = 10
# The largest size of a configuration that the system is designed for.
MAX_CONTENT_BYTES: Final = 16_000_000

_Items = Iterable[platform_api.StoredItem]


@attrs.frozen
class ObjectVersion:
    """One version of an object of some kind."""

    name: str
    version: int


@attrs.frozen
class EncodedObjects:
    """Compressed objects.

    Attributes:
      data: the compressed bytes.
      bases: versions whose JSON is the dictionary, in this order.
    """

    data: bytes
    bases: tuple[ObjectVersion, ...] = ()


class LargeObjects:
    """The latest versions of the large objects that a daemon has."""

    def __init__(self) -> None:
        """Initializes without objects."""
        # JSON by kind and version, the oldest first.
        self._encoded: dict[tuple[str, ObjectVersion], bytes] = {}
        # The last version of each object by kind, also of small ones.
        self._seen: dict[str, dict[str, int]] = {}

    def note(
        self, kind: str, items: Mapping[str, platform_api.StoredItem]
    ) -> None:
        """Records all objects of a kind."""
        seen = self._seen.get(kind, {})
        for item in items.values():
            if seen.get(item.name) != item.version:
                self._add(kind, item)
        self._seen[kind] = {name: item.version for name, item in items.items()}

    def versions(self, kind: str) -> tuple[ObjectVersion, ...]:
        """Returns the versions that a sender may use as a dictionary."""
        seen = self._seen.get(kind, {})
        return tuple(
            version
            for of_kind, version in self._encoded
            if of_kind == kind and seen.get(version.name) == version.version
        )

    def encode(
        self, kind: str, items: _Items, offered: Iterable[ObjectVersion]
    ) -> EncodedObjects:
        """Encodes objects for a receiver.

        Args:
          kind: kind of the objects.
          items: the objects.
          offered: versions of objects that the receiver has.
        """
        listed = tuple(items)
        names = {item.name for item in listed}
        bases = tuple(
            version
            for version in offered
            if version.name in names and (kind, version) in self._encoded
        )
        data = _compress(_to_json(listed), self._dictionary(kind, bases))
        return EncodedObjects(data, bases)

    def decode(
        self, kind: str, encoded: EncodedObjects
    ) -> tuple[platform_api.StoredItem, ...]:
        """Decodes objects that another daemon has encoded.

        Raises:
          errors.ConfigurationError: the bytes are no objects, or this daemon
            no longer has what they are based on.
        """
        if any((kind, base) not in self._encoded for base in encoded.bases):
            raise errors.ConfigurationError(
                "the objects are based on versions that were dropped meanwhile"
            )
        dictionary = self._dictionary(kind, encoded.bases)
        try:
            size_bytes = zstandard.frame_content_size(encoded.data)
            if size_bytes > MAX_CONTENT_BYTES:
                raise errors.ConfigurationError(
                    f"the objects have {size_bytes} bytes; at most "
                    f"{MAX_CONTENT_BYTES} are read"
                )
            json = zstandard.ZstdDecompressor(dict_data=dictionary).decompress(
                encoded.data, max_output_size=MAX_CONTENT_BYTES
            )
        except zstandard.ZstdError as error:
            raise errors.ConfigurationError(
                f"the objects can't be decompressed: {error}"
            ) from error
        return _from_json(json)

    def _add(self, kind: str, item: platform_api.StoredItem) -> None:
        encoded = _to_json((item,))
        if len(encoded) < _LARGE_BYTES:
            return
        added = ObjectVersion(item.name, item.version)
        versions = [
            key
            for key in self._encoded
            if key[0] == kind and key[1].name == item.name
        ]
        for key in versions[: 1 - _MAX_VERSIONS]:
            del self._encoded[key]
        bounded_records.put(
            self._encoded, (kind, added), encoded, _MAX_LARGE_OBJECTS
        )

    def _dictionary(
        self, kind: str, bases: tuple[ObjectVersion, ...]
    ) -> zstandard.ZstdCompressionDict | None:
        content = b"".join(self._encoded[kind, base] for base in bases)
        if not content:
            return None
        return zstandard.ZstdCompressionDict(
            content, dict_type=zstandard.DICT_TYPE_RAWCONTENT
        )


def _compress(
    json: bytes, dictionary: zstandard.ZstdCompressionDict | None
) -> bytes:
    dictionary_bytes = len(dictionary) if dictionary else 0
    window_log = (len(json) + dictionary_bytes).bit_length()
    parameters = zstandard.ZstdCompressionParameters.from_level(
        _COMPRESSION_LEVEL,
        source_size=len(json),
        dict_size=dictionary_bytes,
        window_log=max(_MIN_WINDOW_LOG, min(window_log, _MAX_WINDOW_LOG)),
        # A receiver with another JSON of a base finds out.
        write_checksum=True,
    )
    return zstandard.ZstdCompressor(
        dict_data=dictionary, compression_params=parameters
    ).compress(json)


def _to_json(items: _Items) -> bytes:
    # The general encoder visits each value, which takes ten times as long.
    rows = [[item.name, item.version, item.value] for item in items]
    return orjson.dumps(rows, option=orjson.OPT_SORT_KEYS)


def _from_json(json: bytes) -> tuple[platform_api.StoredItem, ...]:
    try:
        rows: Any = orjson.loads(json)
        return tuple(_item(*row) for row in rows)
    except (orjson.JSONDecodeError, TypeError, ValueError) as error:
        raise errors.ConfigurationError(
            f"the objects can't be read: {error}"
        ) from error


def _item(name: Any, version: Any, value: Any) -> platform_api.StoredItem:
    if not isinstance(name, str) or not isinstance(version, int):
        raise TypeError("an object has no name or version")
    return platform_api.StoredItem(name, version, value)
