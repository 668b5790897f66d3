"""Keys of customers: made once, kept as a salted digest.

A key reads `fs-ID-SECRET`. The id finds the record, the digest of salt and
secret proves the key; the secret itself is kept nowhere.
"""

from collections.abc import Callable
import hashlib
import hmac
import secrets
from typing import Final

import attrs

# Finds the id and the secret of a key; None if it is malformed.
Split = Callable[[str], tuple[str, str] | None]

_PREFIX: Final = "fs"
_ID_BYTES: Final = 6
_SECRET_BYTES: Final = 24
_SALT_BYTES: Final = 16
_GIVEN_ID_DIGITS: Final = 32


@attrs.frozen
class KeyRecord:
    """What the configuration holds of a key.

    Attributes:
      key_id: public part of the key.
      customer: name of the customer it belongs to.
      salt: hexadecimal salt of the digest.
      digest: hexadecimal SHA-256 of salt and secret.
      withdrawn: whether the key has stopped working.
    """

    key_id: str
    customer: str
    salt: str
    digest: str
    withdrawn: bool = False

    def matches(self, secret: str) -> bool:
        """Tells whether the secret is the one the key was made with."""
        return hmac.compare_digest(self.digest, _digest(self.salt, secret))


@attrs.frozen
class IssuedKey:
    """A new key, shown once, and the record that is kept of it."""

    text: str
    record: KeyRecord


def issue(customer: str) -> IssuedKey:
    """Makes a new key for a customer."""
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


def given(text: str, customer: str) -> KeyRecord:
    """Returns the record of a key that somebody else has made.

    Its id is a digest, so that the key itself is kept nowhere.
    """
    key_id = _given_id(text)
    return KeyRecord(key_id, customer, "", _digest("", text))


def split_given(text: str) -> tuple[str, str] | None:
    """Returns the id and the secret of a key that somebody else has made."""
    return (_given_id(text), text) if text else None


def _given_id(text: str) -> str:
    return hashlib.sha256(f"id:{text}".encode()).hexdigest()[:_GIVEN_ID_DIGITS]


def _digest(salt: str, secret: str) -> str:
    return hashlib.sha256(f"{salt}:{secret}".encode()).hexdigest()
