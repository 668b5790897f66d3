"""Group commit of claims to the page of one key range.

The claim journal runs one writer task for each key range. Changes that arrive
during a write wait, and the next write contains all of them. If several
daemons write the same page, the platform's conditional update accepts only
one of them. After a write without an answer, the writer reads the page and
searches it for the id of the claim. A claim that may have been written but
was not confirmed in time is refused and withdrawn: the writer removes the
claim as soon as the platform answers. An unconfirmed write can still take
effect until the page has a later version than the write expected.
"""

from collections.abc import Sequence
import random
from typing import Final

import anyio
import attrs

from figstream import claim_record
from figstream import clock as clock_lib
from figstream import platform_api

MAX_CLAIMS_PER_WRITE: Final = 256
COMMIT_ATTEMPTS: Final = 8
# A page that this writer wrote more recently than this is not read again.
PAGE_CACHE_S: Final = 1.0
MAX_PENDING_CLAIMS: Final = 1_000
MAX_PENDING_RESULTS: Final = 200
# Covers several round trips to the platform.
_INITIAL_BACKOFF_S: Final = 0.05
_MAX_BACKOFF_S: Final = 2.0


@attrs.frozen
class NotCommitted:
    """Outcome of a change that is not known to be on the page."""

    detail: str


@attrs.define(eq=False)
class ClaimChange:
    """A claim that is queued for the next write.

    Attributes:
      record: the claim.
      outcome: the record that the page holds for the key, once known.
      abandoned: whether no task waits for the outcome any more.
      done: event that is set together with the outcome.
    """

    record: claim_record.ClaimRecord
    outcome: claim_record.ClaimRecord | NotCommitted | None = None
    abandoned: bool = False
    done: anyio.Event = attrs.field(factory=anyio.Event)

    def resolve(self, outcome: claim_record.ClaimRecord | NotCommitted) -> None:
        """Sets the outcome and wakes the tasks that wait for the outcome."""
        self.outcome = outcome
        self.done.set()


@attrs.define(eq=False)
class ResultChange:
    """An answer or a withdrawal that is queued for the next write.

    Attributes:
      digest: digest of customer and idempotency key.
      claim_id: id of the claim.
      result: the answer, or None to withdraw the claim.
      stored: whether the page holds the answer.
      done: event that is set after the write.
    """

    digest: str
    claim_id: str
    result: claim_record.ResultRecord | None
    stored: bool = False
    done: anyio.Event = attrs.field(factory=anyio.Event)


class RangeWriter:
    """Writes the page of one key range."""

    def __init__(
        self,
        objects: platform_api.ObjectStore,
        clock: clock_lib.Clock,
        name: str,
        timeout_s: float,
        jitter: random.Random,
    ) -> None:
        """Initializes the queues as empty and the page as not cached."""
        self._objects = objects
        self._clock = clock
        self._name = name
        self._timeout_s = timeout_s
        self._jitter = jitter
        self._claims: list[ClaimChange] = []
        self._results: list[ResultChange] = []
        self._wakeup = anyio.Event()
        self._cached: platform_api.Found | None = None
        self._cached_at = 0.0
        self._highest_version = platform_api.ABSENT_VERSION
        self._unconfirmed_version: int | None = None
        self._objects_to_delete: list[str] = []
        # Answers that expired in writes whose outcome is unknown.
        self._expired_in_doubt: set[str] = set()

    @property
    def idle(self) -> bool:
        """Returns whether there is nothing to write or delete."""
        return not (self._write_needed or self._objects_to_delete)

    @property
    def _write_needed(self) -> bool:
        in_doubt = self._unconfirmed_version is not None
        return bool(self._claims or self._results or in_doubt)

    def add_claim(self, change: ClaimChange) -> None:
        """Queues a claim for the next write."""
        if len(self._claims) >= MAX_PENDING_CLAIMS:
            change.resolve(
                NotCommitted("too many changes are queued for the journal")
            )
            return
        self._claims.append(change)
        self._wakeup.set()

    def add_result(self, change: ResultChange) -> bool:
        """Queues an answer or a withdrawal; returns whether there is room."""
        stored = sum(item.result is not None for item in self._results)
        if change.result is not None and stored >= MAX_PENDING_RESULTS:
            return False
        self._results.append(change)
        self._wakeup.set()
        return True

    async def run(self) -> None:
        """Writes until the queues are empty and the cached page is expired."""
        failures = 0
        while not await self._stays_idle():
            if not self._write_needed:
                await self._delete_result(self._objects_to_delete.pop())
                continue
            failure = await self._commit(self._next_claims())
            failures = failures + 1 if failure else 0
            if failure:
                await self._clock.sleep(self._backoff_s(failures))

    def _next_claims(self) -> list[ClaimChange]:
        batch = self._claims[:MAX_CLAIMS_PER_WRITE]
        del self._claims[:MAX_CLAIMS_PER_WRITE]
        return [change for change in batch if not change.abandoned]

    async def _stays_idle(self) -> bool:
        if self.idle:
            self._wakeup = anyio.Event()
            with anyio.move_on_after(PAGE_CACHE_S):
                await self._wakeup.wait()
        return self.idle

    def _backoff_s(self, failures: int) -> float:
        ceiling_s = min(_MAX_BACKOFF_S, _INITIAL_BACKOFF_S * 2**failures)
        return self._jitter.uniform(0, ceiling_s)

    async def _commit(self, claims: Sequence[ClaimChange]) -> bool:
        """Writes the changes; returns whether they are unconfirmed."""
        for attempt in range(COMMIT_ATTEMPTS):
            page = await self._page(fresh=attempt > 0)
            if page is None:
                break
            draft, records, results = self._draft(page, claims)
            if page is self._cached and self._must_read_again(claims, records):
                continue
            self._expired_in_doubt.update(draft.expired_results)
            if not draft.changed and page.version != self._unconfirmed_version:
                self._resolve_all(claims, records, results)
                self._delete_expired(draft)
                return False
            outcome = await self._write(draft.encode(), page.version)
            if isinstance(outcome, platform_api.Written):
                self._resolve_all(claims, records, results)
                self._delete_expired(draft)
                return False
            if isinstance(outcome, platform_api.Unavailable):
                break
        self._fail(claims)
        return True

    def _draft(
        self, page: platform_api.Found, claims: Sequence[ClaimChange]
    ) -> tuple[
        claim_record.PageDraft,
        list[claim_record.ClaimRecord | None],
        list[ResultChange],
    ]:
        draft = claim_record.PageDraft(page.body)
        results = list(self._results)
        for change in results:
            if change.result is None:
                draft.withdraw(change.digest, change.claim_id)
            else:
                change.stored = draft.complete(
                    change.digest, change.claim_id, change.result
                )
        draft.expire(self._clock.wall())
        return draft, [draft.claim(item.record) for item in claims], results

    def _delete_expired(self, stored: claim_record.PageDraft) -> None:
        """Queues the expired answers that the stored page does not use."""
        unused = stored.without_results(self._expired_in_doubt)
        self._objects_to_delete.extend(unused)
        self._expired_in_doubt.clear()

    def _must_read_again(
        self,
        claims: Sequence[ClaimChange],
        records: Sequence[claim_record.ClaimRecord | None],
    ) -> bool:
        """Returns whether a cached page may lack an answer or a withdrawal."""
        return any(
            found is not None
            and found.result is None
            and found.claim_id != change.record.claim_id
            for change, found in zip(claims, records, strict=True)
        )

    def _resolve_all(
        self,
        claims: Sequence[ClaimChange],
        records: Sequence[claim_record.ClaimRecord | None],
        results: Sequence[ResultChange],
    ) -> None:
        self._unconfirmed_version = None
        for result in results:
            self._results.remove(result)
            result.done.set()
        for change, found in zip(claims, records, strict=True):
            change.resolve(
                found or NotCommitted("the journal page of the key is full")
            )
            if (
                change.abandoned
                and found is not None
                and found.claim_id == change.record.claim_id
            ):
                self._withdraw(change.record)

    def _fail(self, claims: Sequence[ClaimChange]) -> None:
        in_doubt = self._unconfirmed_version is not None
        for change in claims:
            change.resolve(
                NotCommitted("the platform did not confirm the claim")
            )
            if in_doubt:
                self._withdraw(change.record)

    def _withdraw(self, record: claim_record.ClaimRecord) -> None:
        self._results.append(ResultChange(record.digest, record.claim_id, None))

    async def _page(self, *, fresh: bool) -> platform_api.Found | None:
        age_s = self._clock.now() - self._cached_at
        if self._cached is not None and not fresh and age_s < PAGE_CACHE_S:
            return self._cached
        self._cached = None
        outcome: platform_api.ReadOutcome | None = None
        with anyio.move_on_after(self._timeout_s):
            outcome = await self._objects.read(self._name)
        if isinstance(outcome, platform_api.Absent):
            outcome = platform_api.Found(
                self._name, platform_api.ABSENT_VERSION, b""
            )
        if not isinstance(outcome, platform_api.Found):
            return None
        if outcome.version < self._highest_version:
            return None
        self._highest_version = outcome.version
        return outcome

    async def _write(
        self, body: bytes, expected_version: int
    ) -> platform_api.WriteOutcome:
        outcome: platform_api.WriteOutcome = platform_api.Unknown("timeout")
        # Without an answer that rules it out, the write may still take effect,
        # even if this task is cancelled during the call.
        earlier, self._unconfirmed_version = (
            self._unconfirmed_version,
            expected_version,
        )
        with anyio.move_on_after(self._timeout_s):
            outcome = await self._objects.write(
                self._name, body, expected_version
            )
        self._cached = None
        if isinstance(
            outcome, platform_api.Unavailable | platform_api.Conflict
        ):
            self._unconfirmed_version = earlier
        if isinstance(outcome, platform_api.Written):
            self._highest_version = outcome.version
            self._cached = platform_api.Found(self._name, outcome.version, body)
            self._cached_at = self._clock.now()
        return outcome

    async def _delete_result(self, name: str) -> None:
        with anyio.move_on_after(self._timeout_s):
            found = await self._objects.read(name)
            if isinstance(found, platform_api.Found):
                await self._objects.delete(name, found.version)
