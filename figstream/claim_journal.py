"""Journal of claims on calls that must run at most once.

The request path claims such a call here before sending the call to a backend
server. The claims are stored in the platform's object store, divided into key
ranges. Each range is a page that `claim_group_commit` writes by conditional
update, and the daemon whose write takes effect owns the call, so that no
lease is needed. A claim outlives its owner: if the daemon stops before
storing the answer, retries are refused as "may have run" until the claim
expires after `claim_record.RETENTION_S`. After that the key may run again.
"""

import itertools
import random
from typing import Final

import anyio
import anyio.abc

from figstream import claim_group_commit
from figstream import claim_record
from figstream import claims_api
from figstream import clock as clock_lib
from figstream import daemon_context
from figstream import errors
from figstream import metrics as metrics_lib
from figstream import platform_api
from figstream import reasons

# A write without an answer has taken effect by then, if at all.
RETRY_AFTER_S: Final = 1.0
_HAND_OVER_POLL_S: Final = 0.02


class PlatformClaimJournal:
    """A daemon's access to the journal.

    Satisfies `claims_api.ClaimJournal` and `daemon_context.Role`.
    """

    def __init__(
        self,
        objects: platform_api.ObjectStore,
        clock: clock_lib.Clock,
        owner: str,
        timeout_s: float,
        metrics: metrics_lib.Metrics,
        jitter: random.Random,
        range_count: int = claim_record.RANGE_COUNT,
    ) -> None:
        """Initializes without writers; claims need `run` to be running."""
        self._objects = objects
        self._clock = clock
        self._owner = owner
        self._timeout_s = timeout_s
        self._metrics = metrics
        self._jitter = jitter
        self._range_count = range_count
        self._claim_numbers = itertools.count(1)
        self._writers: dict[int, claim_group_commit.RangeWriter] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Runs the writers until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            try:
                await anyio.sleep_forever()
            finally:
                self._tasks = None

    async def hand_over(self) -> None:
        """Waits until every answer and withdrawal is written to its page."""
        while not all(writer.idle for writer in self._writers.values()):
            await anyio.sleep(_HAND_OVER_POLL_S)

    async def claim(
        self, customer: str, idempotency_key: str, fingerprint: int
    ) -> claims_api.ClaimOutcome:
        """Returns a new claim, the stored answer of the call, or a refusal."""
        record = claim_record.ClaimRecord(
            claim_record.key_digest(customer, idempotency_key),
            fingerprint,
            f"{self._owner}-{next(self._claim_numbers)}",
            self._clock.wall(),
        )
        writer = self._writer(record.digest)
        if writer is None:
            return self._unavailable("the claim journal is not running")
        found = await self._commit(writer, record)
        if isinstance(found, claim_group_commit.NotCommitted):
            return self._unavailable(found.detail)
        if found.claim_id == record.claim_id:
            self._metrics.event("claim_won")
            return claims_api.Claimed(
                record.claim_id, customer, idempotency_key
            )
        return await self._answer_retry(found, fingerprint)

    async def complete(
        self, claim: claims_api.Claimed, result: claims_api.StoredResult
    ) -> bool:
        """Stores an answer; returns whether all of it is known to be stored."""
        stored, body = claim_record.make_result_record(claim.claim_id, result)
        if body and not await self._store_body(stored.object_name, body):
            stored = claim_record.ResultRecord(
                stored.status, stored.content_type, whole=False
            )
        return await self._submit_result(claim, stored) and stored.whole

    async def release(self, claim: claims_api.Claimed) -> bool:
        """Withdraws a claim whose call certainly did not run."""
        return await self._submit_result(claim, None)

    async def _commit(
        self,
        writer: claim_group_commit.RangeWriter,
        record: claim_record.ClaimRecord,
    ) -> claim_record.ClaimRecord | claim_group_commit.NotCommitted:
        """Waits for the outcome; withdraws the claim if the wait ends early."""
        change = claim_group_commit.ClaimChange(record)
        delivered = False
        try:
            writer.add_claim(change)
            with anyio.move_on_after(2 * self._timeout_s):
                await change.done.wait()
            delivered = change.outcome is not None
        finally:
            if not delivered:
                self._abandon(change)
        return change.outcome or claim_group_commit.NotCommitted(
            "the platform did not confirm the claim in time"
        )

    def _abandon(self, change: claim_group_commit.ClaimChange) -> None:
        change.abandoned = True
        record = change.record
        writer = self._writer(record.digest)
        if writer and isinstance(change.outcome, claim_record.ClaimRecord):
            writer.add_result(
                claim_group_commit.ResultChange(
                    record.digest, record.claim_id, None
                )
            )

    async def _submit_result(
        self,
        claim: claims_api.Claimed,
        stored: claim_record.ResultRecord | None,
    ) -> bool:
        """Stores an answer, or withdraws the claim if the answer is None."""
        digest = claim_record.key_digest(claim.customer, claim.idempotency_key)
        change = claim_group_commit.ResultChange(digest, claim.claim_id, stored)
        writer = self._writer(digest)
        if writer is None or not writer.add_result(change):
            self._metrics.event("claim_answer_dropped")
            return False
        with anyio.move_on_after(2 * self._timeout_s):
            await change.done.wait()
        return change.done.is_set() and (stored is None or change.stored)

    async def _store_body(self, name: str, body: bytes) -> bool:
        outcome: platform_api.WriteOutcome = platform_api.Unknown("timeout")
        with anyio.move_on_after(self._timeout_s):
            outcome = await self._objects.write(
                name, body, platform_api.ABSENT_VERSION
            )
        if isinstance(outcome, platform_api.Unknown):
            return await self._read_body(name) == body
        return isinstance(outcome, platform_api.Written)

    async def _read_body(self, name: str) -> bytes | None:
        found: platform_api.ReadOutcome | None = None
        with anyio.move_on_after(self._timeout_s):
            found = await self._objects.read(name)
        return found.body if isinstance(found, platform_api.Found) else None

    async def _answer_retry(
        self, found: claim_record.ClaimRecord, fingerprint: int
    ) -> claims_api.ClaimOutcome:
        if found.fingerprint != fingerprint:
            return errors.Refusal(reasons.RefusalReason.CLAIM_MISMATCH)
        stored = found.result
        if stored is None:
            return errors.Refusal(
                reasons.RefusalReason.CLAIM_UNRESOLVED,
                reasons.RunState.MAY_HAVE_RUN,
                retry_after_s=RETRY_AFTER_S,
            )
        if not stored.whole:
            return self._answer_missing(stored, "was not stored")
        body: bytes | None = stored.body
        if stored.object_name:
            body = await self._read_body(stored.object_name)
        if body is None:
            return self._answer_missing(stored, "cannot be read at present")
        self._metrics.event("claim_repeated")
        return claims_api.AlreadyAnswered(
            claims_api.StoredResult(stored.status, stored.content_type, body)
        )

    def _answer_missing(
        self, stored: claim_record.ResultRecord, fault: str
    ) -> errors.Refusal:
        return errors.Refusal(
            reasons.RefusalReason.CLAIM_UNRESOLVED,
            reasons.RunState.RAN,
            f"the call ran with status {stored.status}; its answer {fault}",
        )

    def _unavailable(self, detail: str) -> errors.Refusal:
        return errors.Refusal(
            reasons.RefusalReason.CLAIM_UNAVAILABLE,
            detail=detail,
            retry_after_s=RETRY_AFTER_S,
        )

    def _writer(self, digest: str) -> claim_group_commit.RangeWriter | None:
        if self._tasks is None:
            return None
        key_range = claim_record.range_of(digest, self._range_count)
        writer = self._writers.get(key_range)
        if writer is None:
            writer = claim_group_commit.RangeWriter(
                self._objects,
                self._clock,
                claim_record.page_name(key_range),
                self._timeout_s,
                self._jitter,
            )
            self._writers[key_range] = writer
            self._tasks.start_soon(self._run_writer, key_range, writer)
        return writer

    async def _run_writer(
        self, key_range: int, writer: claim_group_commit.RangeWriter
    ) -> None:
        await writer.run()
        del self._writers[key_range]


def make_claim_journal(
    context: daemon_context.DaemonContext,
) -> PlatformClaimJournal:
    """Creates the journal of a daemon."""
    options = context.options
    return PlatformClaimJournal(
        context.platform.objects,
        context.clock,
        f"{options.name}-{context.start_number}",
        options.platform_timeout_s,
        context.metrics,
        random.Random(context.start_number),
    )
