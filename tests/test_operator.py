"""Tests of the operator commands against a real gRPC server.

The tests fail when a change is accepted on the newest generation whatever base
generation it names, when the service does not check `_changes_nothing`, when
answers contain the secret of a key, or when `AccessInterceptor` accepts every
call.
"""

from collections.abc import AsyncIterator
from collections.abc import Sequence
import contextlib
import json
import pathlib
from typing import Any

import anyio
import attrs
import grpc
import pytest
import typer.testing

from figstream import clock as clock_lib
from figstream import configuration_holder
from figstream import configuration_store
from figstream import explain
from figstream import main
from figstream import membership_api
from figstream import operator_access
from figstream import operator_explain
from figstream import operator_server
from figstream import operator_service
from figstream import operator_status
from figstream import options
from figstream import peer_server
from figstream import platform_memory
from figstream.rpc import operator_pb2
from figstream.rpc import operator_pb2_grpc

_EXAMPLE = pathlib.Path(__file__).parent.parent / "examples/changes.json"


@attrs.define
class _Members:
    """Two daemons in two zones, with generations that a test sets."""

    peer_address: str = ""
    generations: dict[str, int] = attrs.field(
        factory=lambda: {"entry-1": 0, "entry-2": 0}
    )

    def this(self) -> membership_api.Member:
        return self.live()[0]

    def live(self) -> Sequence[membership_api.Member]:
        return [
            membership_api.Member(
                name, f"zone-{name[-1]}", "r", self.peer_address, 1, generation
            )
            for name, generation in self.generations.items()
        ]

    def ranked(
        self, role: str, zone: str = ""
    ) -> Sequence[membership_api.Member]:
        return self.live()

    def channel(self, member: membership_api.Member) -> grpc.aio.Channel:
        return grpc.aio.insecure_channel(member.address)


@attrs.define
class _OperatorHarness:
    """The operator server of a daemon, with an in-memory platform."""

    address: str
    members: _Members
    platform: platform_memory.MemoryPlatform
    decisions: explain.DecisionLog

    async def run(
        self, *arguments: str, token: str = ""
    ) -> typer.testing.Result:
        """Runs an operator command in a thread."""
        line = ("operator", "--address", self.address, "--json", *arguments)
        environment = {"FIGSTREAM_OPERATOR_TOKEN": token}
        runner = typer.testing.CliRunner()
        return await anyio.to_thread.run_sync(
            lambda: runner.invoke(main.app, line, env=environment)
        )

    async def run_successfully(self, *arguments: str) -> Any:
        """Runs a command that must succeed; returns the JSON it printed."""
        result = await self.run(*arguments)
        assert result.exit_code == 0, result.output
        return json.loads(result.stdout)


@contextlib.asynccontextmanager
async def _serve(token_digest: str = "") -> AsyncIterator[_OperatorHarness]:
    clock = clock_lib.SystemClock()
    platform = platform_memory.MemoryPlatform()
    members = _Members()
    own_decisions, peer_decisions = explain.DecisionLog(), explain.DecisionLog()
    peers = peer_server.PeerServer("127.0.0.1", 0)
    members.peer_address = peers.address
    peer_members = _Members(generations={"entry-2": 0})
    await peers.start(
        [operator_explain.Explainer(peer_decisions, peer_members)]
    )
    store = configuration_store.ConfigurationStore(platform.objects, clock)
    service = operator_service.OperatorService(
        store,
        store,
        operator_status.ZoneStatusReader(members, tuple, clock),
        operator_explain.Explainer(own_decisions, members),
        configuration_holder.ConfigurationHolder(clock),
        "entry-1",
    )
    settings = options.Options(
        *("entry-1", "zone-1", "r", "127.0.0.1", 0, 0, 0, "http://none"),
        token_digest=token_digest,
    )
    server = operator_server.OperatorServer(service, settings)
    async with anyio.create_task_group() as group:
        group.start_soon(server.run)
        yield _OperatorHarness(
            server.address, members, platform, peer_decisions
        )
        group.cancel_scope.cancel()
    await peers.stop()


@pytest.mark.anyio
async def test_apply_twice_changes_nothing_and_a_race_conflicts() -> None:
    async with _serve() as harness:
        first = await harness.run_successfully("apply", str(_EXAMPLE))
        assert first["outcome"]["result"] == "ACCEPTED"
        again = await harness.run_successfully(
            "apply", "--base", "0", str(_EXAMPLE)
        )
        assert again["outcome"]["result"] == "NO_CHANGE"
        assert again["outcome"]["generation"] == "1"
        shown = await harness.run_successfully("show")
        assert [item["name"] for item in shown["classes"]] == [
            *("batch", "calls", "chat")
        ]
        await harness.run_successfully("server", "drain", "engine-1")
        await harness.run_successfully(
            "customer", "set", "studio", "--weight", "3"
        )
        shown = await harness.run_successfully("show")
        assert shown["servers"][0]["state"] == "draining"
        assert shown["customers"][0]["weight"] == 3
        assert shown["customers"][0]["limits"]["concurrency"] == 200
        late = await harness.run("apply", "--base", "1", str(_EXAMPLE))
        assert late.exit_code == 3
        assert "read generation 3" in late.stderr


@pytest.mark.anyio
async def test_racing_operators_lose_nothing() -> None:
    async with _serve() as harness:
        channel = grpc.aio.insecure_channel(harness.address)
        stub = operator_pb2_grpc.OperatorStub(channel)
        conflicts = 0

        async def create(name: str) -> None:
            nonlocal conflicts
            put = operator_pb2.Operation(
                put_customer=operator_pb2.Customer(name=name)
            )
            base = 0
            while True:
                answer = await stub.Change(
                    operator_pb2.ChangeRequest(
                        base_generation=base, operations=[put]
                    )
                )
                if answer.outcome.result == operator_pb2.ACCEPTED:
                    return
                assert answer.outcome.result == operator_pb2.CONFLICT
                conflicts += 1
                base = answer.outcome.generation

        names = [f"customer-{number}" for number in range(10)]
        async with anyio.create_task_group() as group:
            for name in names:
                group.start_soon(create, name)
        assert conflicts > 0
        shown = await harness.run_successfully("show")
        assert [item["name"] for item in shown["customers"]] == names
        assert shown["generation"] == "10"
        await channel.close()


@pytest.mark.anyio
async def test_key_is_shown_once_and_withdrawal_names_the_zones() -> None:
    async with _serve() as harness:
        await harness.run_successfully("customer", "set", "studio")
        created = await harness.run_successfully("key", "create", "studio")
        key, key_id = created["key"], created["key_id"]
        secret = key.rsplit("-", 1)[1]
        names = await harness.platform.objects.list_names("")
        assert isinstance(names, list)
        for name in names:
            found = await harness.platform.objects.read(name)
            assert secret not in str(found)
        listed = await harness.run("show")
        assert secret not in listed.stdout
        assert key_id in listed.stdout
        refused = await harness.run("customer", "remove", "studio")
        assert refused.exit_code == 4
        assert f"withdraw them first: {key_id}" in refused.stderr
        harness.members.generations = {"entry-1": 3, "entry-2": 2}
        answer = await harness.run_successfully(
            "key", "withdraw", key_id, "--wait-s", "0.2"
        )
        assert not answer["confirmed"]
        assert [(z["zone"], z["behind"]) for z in answer["zones"]] == [
            ("zone-1", []),
            ("zone-2", ["entry-2"]),
        ]
        harness.members.generations["entry-2"] = 3
        answer = await harness.run_successfully("key", "withdraw", key_id)
        assert answer["outcome"]["result"] == "NO_CHANGE"
        assert answer["confirmed"]
        await harness.run_successfully("customer", "remove", "studio")


@pytest.mark.anyio
async def test_change_sent_again_with_its_id_is_made_once() -> None:
    """Fails when the console does not send the change id."""
    async with _serve() as harness:
        first = ("--change-id", "c-1", "customer", "set", "studio", "--weight")
        harness.platform.objects.faults.lose_answers = 1000
        made = await harness.run_successfully(*first, "5")
        harness.platform.objects.faults.lose_answers = 0
        await harness.run_successfully(
            "customer", "set", "studio", "--weight", "7"
        )
        again = await harness.run_successfully(*first, "5")
        assert again["outcome"] == made["outcome"]
        shown = await harness.run_successfully("show")
        assert shown["customers"][0]["weight"] == 7


@pytest.mark.anyio
async def test_bad_changes_and_an_outage_name_the_remedy(
    tmp_path: pathlib.Path,
) -> None:
    async with _serve() as harness:
        dangling = await harness.run("class", "default", "fast")
        assert dangling.exit_code == 4
        assert "add class 'fast' first" in dangling.stderr
        broken = tmp_path / "broken.json"
        broken.write_text('{"customers": [{"nam": "studio"}]}')
        invalid = await harness.run("apply", str(broken))
        assert invalid.exit_code == 4
        assert "correct the fields named" in invalid.stderr
        harness.platform.objects.faults.down = True
        outage = await harness.run("customer", "set", "studio")
        assert outage.exit_code == 5
        assert "nothing was changed" in outage.stderr
        answer = await harness.run_successfully("status")
        assert "accepted_generation" not in answer
    silent = await harness.run("status")
    assert silent.exit_code == 5
    assert "check --address" in silent.stderr


@pytest.mark.anyio
async def test_explain_asks_peers() -> None:
    async with _serve() as harness:
        record = explain.DecisionRecord(
            5.0, "r-1", "studio", "chat", "refused", "unknown_model"
        )
        harness.decisions.add(record)
        answer = await harness.run_successfully("explain", "r-1")
        assert answer["decisions"][0]["reason"] == "unknown_model"
        assert answer["decisions"][0]["daemon"] == "entry-2"
        assert answer["silent"] == []
        assert (await harness.run_successfully("explain"))["decisions"]


@pytest.mark.anyio
async def test_token_is_required_when_the_settings_hold_its_digest() -> None:
    async with _serve(operator_access.digest("right")) as harness:
        for token, code in ("", 4), ("wrong", 4), ("right", 0):
            result = await harness.run("status", token=token)
            assert result.exit_code == code


@pytest.mark.parametrize(
    ("peer", "loopback"),
    [
        ("ipv4:127.0.0.1:50000", True),
        ("ipv6:%5B::1%5D:50000", True),
        ("ipv4:10.0.0.4:50000", False),
        ("unix:/run/socket", False),
    ],
)
def test_without_a_token_only_this_vm_is_served(
    peer: str, loopback: bool
) -> None:
    assert operator_access.is_loopback(peer) is loopback
