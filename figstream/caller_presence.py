"""Knows whether the caller of a request is still there.

`caller_watch` reports when the caller has closed its connection. A request that
no server has then ends where it waits: nobody would read its answer, and its
place is another's. `request_path` waits within the scopes that end so. Answers
the load in which callers give up while too little room lets their requests
wait.
"""

import anyio


class CallerPresence:
    """Whether one caller is there, and the wait that ends if it leaves."""

    def __init__(self) -> None:
        """Initializes a caller that is there."""
        self._gone = False
        self._wait: anyio.CancelScope | None = None

    @property
    def gone(self) -> bool:
        """Returns whether the caller has closed its connection."""
        return self._gone

    def leave(self) -> None:
        """Records that the caller has left, and ends the present wait."""
        self._gone = True
        if self._wait:
            self._wait.cancel()

    def end_with_caller(self, wait: anyio.CancelScope | None) -> None:
        """Has the scope end once the caller leaves, None for no scope."""
        self._wait = wait
