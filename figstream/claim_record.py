"""Records of claims and the format of the journal pages that hold them.

A page is one object in the platform's store and holds the claims of one key
range. Each line consists of a digest of the key, the Unix time in seconds at
which the claim expires, and the record as JSON, so that `claim_group_commit`
can search a page and remove expired claims without decoding the records.
"""

from collections.abc import Iterable
import hashlib
import itertools
from typing import Final

import attrs
import xxhash

from figstream import claims_api
from figstream import serialization

# One page for every few claims per second.
RANGE_COUNT: Final = 2048
# Callers stop retrying a call before this time is over.
RETENTION_S: Final = 6 * 3600
# A page that has reached this size accepts no new claims. A page that has
# reached `ANSWER_LIMIT_BYTES` stores answers without their bodies. The answers
# of all open claims therefore fit into an object of a megabyte.
CLAIM_LIMIT_BYTES: Final = 500_000
# A page of this size still fits into an object when encoded as base64.
ANSWER_LIMIT_BYTES: Final = 700_000
# A longer answer is stored in a separate object.
MAX_INLINE_RESULT_BYTES: Final = 512
# The platform accepts objects of up to a megabyte.
MAX_RESULT_BYTES: Final = 900_000
_MAX_CONTENT_TYPE_CHARS: Final = 100


@attrs.frozen
class ResultRecord:
    """The answer to a claimed call, as stored in a page.

    Attributes:
      status: HTTP status code.
      content_type: media type of the body.
      body: the body, when it is short.
      object_name: name of the object that holds a longer body, or "".
      whole: whether the body is stored; very long bodies are not.
    """

    status: int
    content_type: str
    body: bytes = b""
    object_name: str = ""
    whole: bool = True


@attrs.frozen
class ClaimRecord:
    """The claim of one call.

    Attributes:
      digest: digest of customer and idempotency key.
      fingerprint: hash of the request, which reveals a different request
        under the same key.
      claim_id: unique id; starts with the owner's name and start number.
      claimed_at: Unix time in seconds.
      result: the answer, or None while it is not known.
    """

    digest: str
    fingerprint: int
    claim_id: str
    claimed_at: float
    result: ResultRecord | None = None

    def line(self) -> bytes:
        """Returns the line of a page that holds the record."""
        expires_at = int(self.claimed_at) + RETENTION_S
        head = f"{self.digest} {expires_at} ".encode()
        return head + serialization.to_json(self)


def key_digest(customer: str, idempotency_key: str) -> str:
    """Returns a digest that cannot collide with another customer's."""
    text = f"{len(customer)}:{customer}{idempotency_key}"
    return hashlib.sha256(text.encode()).hexdigest()


def range_of(digest: str, range_count: int) -> int:
    """Returns the key range of a digest."""
    return xxhash.xxh3_64_intdigest(digest.encode()) % range_count


def page_name(key_range: int) -> str:
    """Returns the name of the object that holds a key range."""
    return f"claims/range-{key_range:04d}"


def result_name(claim_id: str) -> str:
    """Returns the name of the object that holds a long answer."""
    return f"claims/result/{claim_id}"


def make_result_record(
    claim_id: str, result: claims_api.StoredResult
) -> tuple[ResultRecord, bytes]:
    """Returns the record for the page and the body for a separate object."""
    stored = ResultRecord(
        result.status, result.content_type[:_MAX_CONTENT_TYPE_CHARS]
    )
    size = len(result.body)
    if size <= MAX_INLINE_RESULT_BYTES:
        return attrs.evolve(stored, body=result.body), b""
    if size > MAX_RESULT_BYTES:
        return attrs.evolve(stored, whole=False), b""
    name = result_name(claim_id)
    return attrs.evolve(stored, object_name=name), result.body


class PageDraft:
    """The next content of a page, built from the content last read."""

    def __init__(self, body: bytes) -> None:
        """Initializes the draft from the stored content."""
        self._lines = {
            line[: line.index(b" ")].decode(): line
            for line in body.splitlines()
        }
        self._size_bytes = len(body)
        self.changed = False
        self.expired_results: list[str] = []

    def find(self, digest: str) -> ClaimRecord | None:
        """Returns the record of a key, or None."""
        line = self._lines.get(digest)
        if line is None:
            return None
        data = line.split(b" ", 2)[2]
        return serialization.from_json(data, ClaimRecord)

    def claim(self, record: ClaimRecord) -> ClaimRecord | None:
        """Adds a claim unless the key already has one.

        Returns:
          The claim of the key, old or new, or None if the page is full.
        """
        found = self.find(record.digest)
        if found is not None:
            return found
        if self._size_bytes + len(record.line()) > CLAIM_LIMIT_BYTES:
            return None
        self._put(record)
        return record

    def complete(
        self, digest: str, claim_id: str, result: ResultRecord
    ) -> bool:
        """Stores an answer; returns whether the page still holds the claim."""
        found = self.find(digest)
        if found is None or found.claim_id != claim_id:
            return False
        if found.result is not None:
            return True
        done = attrs.evolve(found, result=result)
        if self._size_bytes + len(done.line()) > ANSWER_LIMIT_BYTES:
            cut = ResultRecord(result.status, "", whole=False)
            done = attrs.evolve(found, result=cut)
        self._put(done)
        return True

    def withdraw(self, digest: str, claim_id: str) -> None:
        """Removes a claim whose call was not sent."""
        found = self.find(digest)
        if found is not None and found.claim_id == claim_id:
            self._remove(digest)

    def expire(self, wall_s: float) -> None:
        """Removes the claims that are past their retention time."""
        for digest in list(self._expired_digests(wall_s)):
            found = self.find(digest)
            if found and found.result and found.result.object_name:
                self.expired_results.append(found.result.object_name)
            self._remove(digest)

    def without_results(self, names: Iterable[str]) -> list[str]:
        """Returns the names of result objects that the page does not use."""
        content = self.encode()
        return [name for name in names if name.encode() not in content]

    def encode(self) -> bytes:
        """Returns the content to store."""
        return b"\n".join(self._lines.values())

    def _expired_digests(self, wall_s: float) -> Iterable[str]:
        # Lines are in the order in which the keys were claimed.
        return itertools.takewhile(
            lambda digest: _expires_at(self._lines[digest]) <= wall_s,
            self._lines,
        )

    def _put(self, record: ClaimRecord) -> None:
        line = record.line()
        old = self._lines.get(record.digest, b"")
        self._lines[record.digest] = line
        self._size_bytes += len(line) - len(old) + 1
        self.changed = True

    def _remove(self, digest: str) -> None:
        self._size_bytes -= len(self._lines.pop(digest)) + 1
        self.changed = True


def _expires_at(line: bytes) -> int:
    return int(line.split(b" ", 2)[1])
