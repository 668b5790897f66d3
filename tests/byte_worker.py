"""A stand-in worker whose answers a test gives as bytes."""

import anyio
import anyio.abc

from figstream_platform import standin_worker


class ByteWorker(standin_worker.Worker):
    """A worker that passes each connection to `answer`."""

    async def serve(
        self,
        *,
        task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves connections until cancelled."""
        listener = await self._listen()
        task_status.started(self.port)
        async with listener:
            await listener.serve(self.answer)

    async def answer(self, stream: anyio.abc.SocketStream) -> None:
        """Answers the requests of a connection."""
        raise NotImplementedError
