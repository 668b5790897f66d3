"""Tests refusals that say that there is no such route or key.

They are final for callers, so they need a proof that no newer configuration
has been in force for as long as a change may take.
"""

import pathlib

import anyio
import httpx
import pytest

from soak import daemons
from tests import daemon_fleet

# Time within which a change must become active.
_CHANGE_S = 2.0


async def _send(
    fleet: daemon_fleet.Fleet, request_id: str, **changes: str
) -> httpx.Response:
    answer = await fleet.send(request_id, 0, **changes)  # type: ignore[arg-type]
    assert answer is not None
    return answer


@pytest.mark.anyio
async def test_without_proof_no_caller_is_told_that_a_route_does_not_exist(
    tmp_path: pathlib.Path,
) -> None:
    """Fails if a daemon that the store has left refuses for good.

    Routes that had been added seconds before got a 404.
    """
    async with daemon_fleet.fleet(tmp_path, (daemons.ROOT,)) as fleet:
        assert (await _send(fleet, "a", route="other")).status_code == 404
        wrong_key = {"authorization": "Bearer other"}
        assert (await _send(fleet, "b", **wrong_key)).status_code == 401
        fleet.store.faults.silent = True
        await anyio.sleep(2.0 * _CHANGE_S)
        for request_id, changes in (
            ("c", {"route": "other"}),
            ("d", wrong_key),
        ):
            answer = await _send(fleet, request_id, **changes)
            assert answer.status_code == 503
            assert 0.0 < float(answer.headers["retry-after"]) <= _CHANGE_S
        # What is known is served on.
        assert (await _send(fleet, "e")).status_code == 200
        fleet.store.faults.silent = False
        await anyio.sleep(_CHANGE_S)
        assert (await _send(fleet, "f", route="other")).status_code == 404
        assert (await _send(fleet, "g", **wrong_key)).status_code == 401
