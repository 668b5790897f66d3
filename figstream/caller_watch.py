"""Carries a call for as long as its caller stays connected."""

import anyio

from figstream import asgi
from figstream import caller_answer
from figstream import inbound
from figstream import request_path
from figstream import request_records


async def carry(
    path: request_path.RequestPath,
    records: request_records.RequestRecords,
    call: inbound.Call,
    receive: asgi.Receive,
    answer: caller_answer.Answer,
) -> None:
    """Carries a call, and drops it when its caller leaves, if it may be.

    A call that may run once at most goes on without its caller, so that a
    run that has begun comes to its end.
    """
    if not call.ends_with_caller:
        await path.serve(call, answer)
        return
    served = False

    async def watch(scope: anyio.CancelScope) -> None:
        await asgi.wait_for_disconnect(receive)
        scope.cancel()

    async with anyio.create_task_group() as group:
        group.start_soon(watch, group.cancel_scope)
        await path.serve(call, answer)
        # The end of an answer looks like a disconnect, too.
        served = True
        group.cancel_scope.cancel()
    if not served:
        records.caller_gone(call)
