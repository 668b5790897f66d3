"""Creates and verifies the API keys of customers.

A key has the form `fs-ID-SECRET`. The ID selects the key's record in the
configuration, and the salted digest in the record verifies the secret. The
secret itself is never stored.
"""

from collections.abc import Callable
import hashlib
import hmac
import secrets
from typing import Final

import attrs

# Returns the id and the secret of a key, or None if the key is malformed.
KeySplitter = Callable[[str], tuple[str, str] | None]

_PREFIX: Final = "fs"
_ID_BYTES: Final = 6
_SECRET_BYTES: Final = 24
_SALT_BYTES: Final = 16
_EXTERNAL_ID_DIGITS: Final = 32


@attrs.frozen
class KeyRecord:
    """The record of a key in the configuration.

    Attributes:
      key_id: public part of the key.
      customer: name of the customer that owns the key.
      salt: hexadecimal salt of the digest.
      digest: hexadecimal SHA-256 of salt and secret.
      withdrawn: whether the key was revoked.
    """

    key_id: str
    customer: str
    salt: str
    digest: str
    withdrawn: bool = False

    def matches(self, secret: str) -> bool:
        """Returns whether the secret is the one of this key."""
        return hmac.compare_digest(self.digest, _digest(self.salt, secret))


@attrs.frozen
class IssuedKey:
    """The text of a new key, which is shown only once, and its record."""

    text: str
    record: KeyRecord


def issue(customer: str) -> IssuedKey:
    """Creates a new key for a customer."""
    key_id = secrets.token_hex(_ID_BYTES)
    secret = secrets.token_hex(_SECRET_BYTES)
    salt = secrets.token_hex(_SALT_BYTES)
    record = KeyRecord(key_id, customer, salt, _digest(salt, secret))
    return IssuedKey(f"{_PREFIX}-{key_id}-{secret}", record)


def split(text: str) -> tuple[str, str] | None:
    """Returns the id and the secret of a key, or None if malformed."""
    parts = text.split("-")
    if len(parts) != 3 or parts[0] != _PREFIX:
        return None
    return parts[1], parts[2]


def external_key_record(text: str, customer: str) -> KeyRecord:
    """Returns the record of a key that another system issued.

    The id is a digest of the key, so that the key itself is never stored.
    """
    key_id = _external_key_id(text)
    return KeyRecord(key_id, customer, "", _digest("", text))


def split_external_key(text: str) -> tuple[str, str] | None:
    """Returns the id and the secret of a key that another system issued."""
    return (_external_key_id(text), text) if text else None


def _external_key_id(text: str) -> str:
    return hashlib.sha256(f"id:{text}".encode()).hexdigest()[
        :_EXTERNAL_ID_DIGITS
    ]


def _digest(salt: str, secret: str) -> str:
    return hashlib.sha256(f"{salt}:{secret}".encode()).hexdigest()
