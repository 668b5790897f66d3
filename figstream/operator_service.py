"""Implements the gRPC service for operators.

A change is applied to the newest accepted configuration by a conditional
update. A change that would alter nothing is answered with NO_CHANGE,
whichever base generation it names, so that applying a change again is safe.
"""

from typing import Final
import uuid

from figstream import api_key
from figstream import configuration as configuration_lib
from figstream import configuration_holder
from figstream import configuration_shards
from figstream import configuration_store
from figstream import daemon_context
from figstream import errors
from figstream import logs
from figstream import membership_api
from figstream import message_texts
from figstream import operator_changes
from figstream import operator_explain
from figstream import operator_messages
from figstream import operator_status
from figstream import platform_api
from figstream.rpc import operator_pb2
from figstream.rpc import operator_pb2_grpc

# A change is normally active in all zones within this time.
_DEFAULT_WAIT_S: Final = 5.0
# Upper bound of the wait that an operator may request.
_MAX_WAIT_S: Final = 30.0


class OperatorService(operator_pb2_grpc.OperatorServicer):
    """The gRPC service for operators, which every daemon offers."""

    def __init__(
        self,
        store: configuration_store.ConfigurationStore,
        acceptor: configuration_store.Acceptor,
        zones: operator_status.ZoneStatusReader,
        explainer: operator_explain.Explainer,
        holder: configuration_holder.ConfigurationHolder,
        vm_name: str,
    ) -> None:
        """Initializes the service of the daemon on the named VM."""
        self._store = store
        self._acceptor = acceptor
        self._zones = zones
        self._explainer = explainer
        self._holder = holder
        self._vm_name = vm_name

    async def GetConfiguration(  # noqa: N802
        self, request: operator_pb2.GetConfigurationRequest, context: object
    ) -> operator_pb2.ConfigurationAnswer:
        """Returns the newest configuration, or the active one in an outage."""
        found = await self._newest()
        if isinstance(found, platform_api.Unavailable):
            found = self._holder.current
        return operator_messages.configuration_answer(found)

    async def Change(  # noqa: N802
        self, request: operator_pb2.ChangeRequest, context: object
    ) -> operator_pb2.ChangeAnswer:
        """Applies a set of changes atomically."""
        outcome = await self._accept(
            lambda current: operator_changes.apply(current, request.operations),
            request.base_generation,
            request.change_id or uuid.uuid4().hex,
        )
        return operator_pb2.ChangeAnswer(outcome=outcome)

    async def CreateKey(  # noqa: N802
        self, request: operator_pb2.CreateKeyRequest, context: object
    ) -> operator_pb2.CreateKeyAnswer:
        """Creates a key; only this answer contains the key."""
        issued = api_key.issue(request.customer)
        outcome = await self._accept(
            lambda current: operator_changes.add_key(current, issued.record),
            request.base_generation,
            uuid.uuid4().hex,
        )
        answer = operator_pb2.CreateKeyAnswer(outcome=outcome)
        if outcome.result == operator_pb2.ACCEPTED:
            answer.key = issued.text
        if outcome.result in {operator_pb2.ACCEPTED, operator_pb2.UNKNOWN}:
            answer.key_id = issued.record.key_id
        return answer

    async def WithdrawKey(  # noqa: N802
        self, request: operator_pb2.WithdrawKeyRequest, context: object
    ) -> operator_pb2.WithdrawKeyAnswer:
        """Withdraws a key and waits a few seconds for confirmation by zones."""
        outcome = await self._accept(
            lambda current: operator_changes.withdraw_key(
                current, request.key_id
            ),
            request.base_generation,
            uuid.uuid4().hex,
        )
        answer = operator_pb2.WithdrawKeyAnswer(outcome=outcome)
        if outcome.result in {operator_pb2.ACCEPTED, operator_pb2.NO_CHANGE}:
            wait_s = _DEFAULT_WAIT_S
            if request.HasField("wait_s"):
                wait_s = min(max(request.wait_s, 0.0), _MAX_WAIT_S)
            zones = await self._zones.wait_until_confirmed(
                outcome.generation, wait_s
            )
            answer.confirmed = operator_status.confirmed(zones)
            answer.zones.extend(map(operator_status.zone_message, zones))
        return answer

    async def GetStatus(  # noqa: N802
        self, request: operator_pb2.GetStatusRequest, context: object
    ) -> operator_pb2.StatusAnswer:
        """Returns the active generation of each zone."""
        active_generation = self._holder.current.generation
        stored = await self._store.read_root()
        target_generation = active_generation
        answer = operator_pb2.StatusAnswer(
            generation=active_generation,
            daemons=self._zones.daemons(),
            answered_by=self._vm_name,
        )
        if isinstance(stored, configuration_store.StoredRoot):
            target_generation = stored.root.generation
            answer.accepted_generation = target_generation
        zones = self._zones.zones(target_generation)
        answer.zones.extend(map(operator_status.zone_message, zones))
        return answer

    async def Explain(  # noqa: N802
        self, request: operator_pb2.ExplainRequest, context: object
    ) -> operator_pb2.ExplainAnswer:
        """Returns why requests were refused, delayed, retried or routed."""
        return await self._explainer.find(request)

    async def _newest(
        self,
    ) -> configuration_lib.Configuration | platform_api.Unavailable:
        found = await self._store.read_newest()
        if isinstance(found, platform_api.Unavailable):
            return found
        return configuration_shards.assemble(found)

    async def _accept(
        self,
        change: configuration_store.Change,
        base_generation: int,
        change_id: str,
    ) -> operator_pb2.Outcome:
        newest = await self._newest()
        if not isinstance(
            newest, platform_api.Unavailable
        ) and _changes_nothing(change, newest):
            return operator_pb2.Outcome(
                result=operator_pb2.NO_CHANGE,
                generation=newest.generation,
                message=message_texts.NO_CHANGE,
            )
        accepted = await self._acceptor.accept(
            change, base_generation, change_id
        )
        outcome = _outcome(accepted, change_id)
        logs.info(
            "operator_change",
            result=operator_pb2.Result.Name(outcome.result),
            base=base_generation,
            generation=outcome.generation,
            change=change_id,
        )
        return outcome


def _changes_nothing(
    change: configuration_store.Change,
    current: configuration_lib.Configuration,
) -> bool:
    """Returns whether a change would leave the configuration as it is."""
    try:
        return change(current) == current
    except errors.ConfigurationError:
        return False


def _outcome(
    accepted: configuration_store.AcceptOutcome, change_id: str
) -> operator_pb2.Outcome:
    outcome = operator_pb2.Outcome(change_id=change_id)
    match accepted:
        case configuration_store.Accepted(generation):
            outcome.result = operator_pb2.ACCEPTED
            outcome.generation = generation
            return outcome
        case configuration_store.GenerationConflict(current):
            outcome.result = operator_pb2.CONFLICT
            outcome.generation = current
        case configuration_store.RefusedChange():
            outcome.result = operator_pb2.REFUSED
        case configuration_store.PlatformDown():
            outcome.result = operator_pb2.UNAVAILABLE
        case configuration_store.OutcomeUnknown():
            outcome.result = operator_pb2.UNKNOWN
    outcome.message = accepted.message
    return outcome


def make_operator_service(
    context: daemon_context.DaemonContext,
    members: membership_api.Members,
    unreachable_zones: operator_status.UnreachableZones,
    explainer: operator_explain.Explainer,
    acceptor: configuration_store.Acceptor,
) -> OperatorService:
    """Creates the operator service of one daemon."""
    return OperatorService(
        configuration_store.ConfigurationStore(
            context.platform.objects, context.clock
        ),
        acceptor,
        operator_status.ZoneStatusReader(
            members, unreachable_zones, context.clock
        ),
        explainer,
        context.holder,
        context.options.name,
    )
