"""Tests that no change is lost while a list is read in several answers."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import cast

import anyio
import attrs
import hypothesis
from hypothesis import strategies as st
import orjson

from figstream import clock as clock_lib
from figstream import metrics as metrics_lib
from figstream import object_follower
from figstream import platform_api
from figstream import platform_http
from figstream import store_era
from figstream_platform import store as store_lib

_KIND = "servers"
_NAMES = "abcdefg"


@attrs.define
class _Store:
    """A store whose lists have small pages; `steps` run between its answers.

    Attributes:
      page_items: objects in an answer to a list.
      steps: one of them runs after each answer.
    """

    page_items: int
    steps: list[Callable[["_Store"], None]] = attrs.field(factory=list)
    era: int = 1
    revision: int = 1
    objects: dict[str, int] = attrs.field(factory=dict)
    _history: list[tuple[int, str, bool]] = attrs.field(factory=list)
    _copy: tuple[int, dict[str, int], list[tuple[int, str, bool]]] = (1, {}, [])

    def put(self, name: str) -> None:
        """Writes an object."""
        self.revision += 1
        self.objects[name] = self.revision
        self._history.append((self.revision, name, False))

    def remove(self, name: str) -> None:
        """Removes an object."""
        if name in self.objects:
            self.revision += 1
            del self.objects[name]
            self._history.append((self.revision, name, True))

    def save(self) -> None:
        """Takes the copy from which the store comes back."""
        self._copy = (self.revision, dict(self.objects), list(self._history))

    def restore(self) -> None:
        """Comes back from the copy."""
        self.era += 1
        revision, objects, history = self._copy
        self.revision, self.objects = revision, dict(objects)
        self._history = list(history)

    async def call(
        self,
        method: str,
        path: str,
        *,
        params: Mapping[str, Any] | None = None,
        **_: Any,
    ) -> platform_http.CallOutcome:
        """Answers a list or a watch, as `PlatformHttpClient` does."""
        assert (method, path) == ("GET", f"/-/objects/{_KIND}")
        status, fields = self._read(params or {})
        fields["storeRevision"] = self.revision
        answer = platform_http.HttpAnswer(
            status, {"store-era": str(self.era)}, orjson.dumps(fields)
        )
        if self.steps:
            self.steps.pop(0)(self)
        return answer

    def _read(self, params: Mapping[str, Any]) -> tuple[int, dict[str, Any]]:
        if "watch" in params:
            if params["watch"] > self.revision:
                return 410, {}
            events = [
                {"object": _entry(name, revision), "deleted": deleted}
                for revision, name, deleted in self._history
                if revision > params["watch"]
            ]
            return 200, {"events": events}
        names = sorted(x for x in self.objects if x > params.get("after", ""))
        page = names[: self.page_items]
        return 200, {
            "items": [_entry(name, self.objects[name]) for name in page],
            "hasMore": len(names) > len(page),
        }


def _entry(name: str, revision: int) -> dict[str, Any]:
    return {
        "metadata": {"name": name, "revision": revision},
        "spec": revision,
    }


def _follower(store: _Store) -> object_follower.ObjectFollower:
    clock = clock_lib.ManualClock()
    metrics = metrics_lib.make_unexported_metrics()
    client = store_lib.StoreClient(
        cast(platform_http.PlatformHttpClient, store),
        store_era.StoreEra(clock),
        metrics,
    )
    return object_follower.ObjectFollower(
        _KIND, store_lib.StoreFeed(client), clock, metrics, change_s=2.0
    )


def _values(follower: object_follower.ObjectFollower) -> dict[str, Any]:
    return {name: item.value for name, item in follower.items.items()}


_STEPS = st.lists(
    st.one_of(
        st.sampled_from(_NAMES).map(lambda name: ("put", name)),
        st.sampled_from(_NAMES).map(lambda name: ("remove", name)),
        st.sampled_from([("save",), ("restore",)]),
    ),
    max_size=4,
)


def _run_all(steps: list[tuple[str, ...]]) -> Callable[[_Store], None]:
    def run(store: _Store) -> None:
        for name, *arguments in steps:
            getattr(store, name)(*arguments)

    return run


@hypothesis.given(
    st.integers(1, 4),
    st.lists(_STEPS, max_size=9),
    st.sets(st.integers(0, 9)),
)
@hypothesis.example(1, [[], [], [("put", "a")]], {0})
@hypothesis.example(1, [[], [], [("remove", "a")]], {0})
@hypothesis.example(9, [[], [("remove", "a")], [("put", "a")]], {0, 3})
@hypothesis.example(3, [[("save",)], [("restore",)], [("put", "a")]], {2})
def test_changes_between_the_pages_of_a_list_are_followed(
    page_items: int, steps: list[list[tuple[str, ...]]], asked_after: set[int]
) -> None:
    store = _Store(page_items)
    for name in _NAMES[:-1]:
        store.put(name)
    store.save()
    store.steps = [_run_all(item) for item in steps]
    relay, asker = _follower(store), _follower(_Store(1))

    async def follow() -> None:
        for poll in range(30):
            await relay._poll_once()
            if poll in asked_after and relay.position:
                _ask(relay, asker)

    anyio.run(follow)
    _ask(relay, asker)
    assert not store.steps
    assert _values(relay) == store.objects
    assert _values(asker) == store.objects


def _ask(
    relay: object_follower.ObjectFollower, asker: object_follower.ObjectFollower
) -> None:
    """Has one follower hear what another one knows."""
    changes = relay.changes_since(asker.position)
    if isinstance(changes, platform_api.HistoryGone) or not asker.position:
        asker.adopt(relay.position, relay.items, settled=True)
    else:
        changed = {item.name for item in changes.changed}
        assert changed.isdisjoint(changes.deleted)
        asker._apply_changes(changes)
