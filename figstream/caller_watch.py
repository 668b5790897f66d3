"""Serves a request and ends it when its caller disconnects."""

import anyio

from figstream import asgi
from figstream import caller_answer
from figstream import caller_presence
from figstream import inbound
from figstream import request_path
from figstream import request_records


async def serve_while_connected(
    path: request_path.RequestPath,
    records: request_records.RequestRecords,
    call: inbound.Call,
    receive: asgi.Receive,
    answer: caller_answer.Answer,
) -> None:
    """Serves a request, and ends it if the caller disconnects.

    A request that may run at most once ends only while no server has it, so
    that a run that has started is completed.
    """
    caller = caller_presence.CallerPresence()
    served = False
    failure: Exception | None = None

    async def end_when_disconnected(scope: anyio.CancelScope) -> None:
        await asgi.wait_for_disconnect(receive)
        if call.cancelled_on_disconnect:
            scope.cancel()
        else:
            caller.leave()

    async with anyio.create_task_group() as group:
        group.start_soon(end_when_disconnected, group.cancel_scope)
        try:
            await path.serve(call, answer, caller)
        except Exception as error:
            # The task group would wrap it in a group.
            failure = error
        # ASGI reports the end of the answer as a disconnect, too, which
        # must not count as a caller that left.
        served = True
        group.cancel_scope.cancel()
    try:
        if failure:
            raise failure
    finally:
        # Its traceback refers to this frame, and so to the request's body.
        del failure
    if not served:
        records.caller_gone(call)
