"""Collects the records of decisions about requests from all daemons.

Each daemon stores records of its own decisions and serves them to other
daemons on the peer port. The `Explain` call of operators uses this module.
"""

from collections.abc import Sequence
from typing import Final

import anyio
import grpc

from figstream import daemon_context
from figstream import explain
from figstream import membership_api
from figstream import operator_messages
from figstream.rpc import operator_pb2
from figstream.rpc import operator_pb2_grpc

# Fits on one screen.
_DEFAULT_LATEST_RECORDS: Final = 20
_MAX_LATEST_RECORDS: Final = 1000
# A peer normally answers within milliseconds.
_PEER_TIMEOUT_S: Final = 2.0
_MAX_PARALLEL_CALLS: Final = 32


class _Servicer(operator_pb2_grpc.DecisionRecordsServicer):
    def __init__(self, explainer: "Explainer") -> None:
        self._explainer = explainer

    async def Find(  # noqa: N802
        self, request: operator_pb2.ExplainRequest, context: object
    ) -> operator_pb2.ExplainAnswer:
        return self._explainer.find_local(request)


class Explainer:
    """Collects records of decisions; implements `daemon_context.RpcRole`."""

    def __init__(
        self, decisions: explain.DecisionLog, members: membership_api.Members
    ) -> None:
        """Initializes the role with this daemon's records and its peers."""
        self._decisions = decisions
        self._members = members

    def register(self, server: grpc.aio.Server) -> None:
        """Adds the gRPC service for peers to the peer server."""
        operator_pb2_grpc.add_DecisionRecordsServicer_to_server(
            _Servicer(self), server
        )

    async def run(self) -> None:
        """Returns immediately; the role has no background work."""

    async def hand_over(self) -> None:
        """Returns immediately; the role has no state to transfer."""

    def find_local(
        self, request: operator_pb2.ExplainRequest
    ) -> operator_pb2.ExplainAnswer:
        """Returns the requested records of this daemon."""
        name = self._members.this().name
        if request.request_id:
            found = self._decisions.of_request(request.request_id)
        else:
            found = self._decisions.latest(_record_limit(request))
        return operator_pb2.ExplainAnswer(
            decisions=[operator_messages.decision(item, name) for item in found]
        )

    async def find(
        self, request: operator_pb2.ExplainRequest
    ) -> operator_pb2.ExplainAnswer:
        """Returns the requested records of all live daemons.

        Records of one request are ordered oldest first, the latest records
        of all requests newest first.
        """
        answers = [self.find_local(request)]
        silent: list[str] = []
        limiter = anyio.CapacityLimiter(_MAX_PARALLEL_CALLS)

        async def collect_from(member: membership_api.Member) -> None:
            async with limiter:
                answer = await self._call_peer(member, request)
            if answer is None:
                silent.append(member.name)
            else:
                answers.append(answer)

        async with anyio.create_task_group() as group:
            for member in self._members.live():
                if member.name != self._members.this().name:
                    group.start_soon(collect_from, member)
        return operator_pb2.ExplainAnswer(
            decisions=_merge(request, answers), silent=sorted(silent)
        )

    async def _call_peer(
        self,
        member: membership_api.Member,
        request: operator_pb2.ExplainRequest,
    ) -> operator_pb2.ExplainAnswer | None:
        channel = self._members.channel(member)
        stub = operator_pb2_grpc.DecisionRecordsStub(channel)
        try:
            answer: operator_pb2.ExplainAnswer = await stub.Find(
                request, timeout=_PEER_TIMEOUT_S
            )
        except grpc.aio.AioRpcError:
            return None
        return answer


def _record_limit(request: operator_pb2.ExplainRequest) -> int:
    return min(request.latest or _DEFAULT_LATEST_RECORDS, _MAX_LATEST_RECORDS)


def _merge(
    request: operator_pb2.ExplainRequest,
    answers: Sequence[operator_pb2.ExplainAnswer],
) -> Sequence[operator_pb2.Decision]:
    found = [item for answer in answers for item in answer.decisions]
    if request.request_id:
        return sorted(found, key=lambda item: item.at)
    newest = sorted(found, key=lambda item: item.at, reverse=True)
    return newest[: _record_limit(request)]


def make_explainer(
    context: daemon_context.DaemonContext, members: membership_api.Members
) -> Explainer:
    """Creates the role that collects records of decisions."""
    return Explainer(context.decisions, members)
