"""Stand-in of the platform's store: its calls, limits and failures."""

import asyncio
import base64
import collections
import dataclasses
import enum
import json
import urllib.parse
from collections.abc import Callable, Coroutine
from typing import Any

from fuchsiafork.kernel import Clock
from fuchsiafork.transport.caller import CallerConnection, CallerRequest
from standins.loopback import LoopbackService

_MS_PER_S = 1000
_WINDOW_S = 1.0


class Trouble(enum.Enum):
    """How the store treats calls."""

    NONE = 'none'
    BUSY = 'busy'
    RESET = 'reset'
    SILENT = 'silent'


@dataclasses.dataclass(frozen=True, slots=True)
class StoredItem:
    """An item, or the deletion of one if it has no value."""

    key: str
    revision: int
    value: str | None
    created: int = 0
    lease: int = 0


@dataclasses.dataclass(slots=True)
class Lease:
    """A lease and the time at which it ends, seconds."""

    ttl_ms: int
    ends: float


class StoreContent:
    """Items, their history and leases, without I/O."""

    def __init__(self, clock: Clock) -> None:
        """Start with a revision above 0."""
        self.revision = 100
        self.history: list[StoredItem] = []
        self.oldest = self.revision
        self.items: dict[str, StoredItem] = {}
        self.leases: dict[int, Lease] = {}
        self._clock = clock

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Return the revision after writing one item."""
        return self.commit([(key, base64.b64encode(value).decode(), lease)], [])

    def get(self, key: str) -> bytes | None:
        """Return a value, None if the key doesn't exist."""
        item = self.items.get(key)
        if item is None or item.value is None:
            return None
        return base64.b64decode(item.value)

    def remove(self, key: str) -> int:
        """Return the revision after deleting one item."""
        return self.commit([], [key])

    def commit(
        self,
        writes: list[tuple[str, str, int]],
        removed: list[str],
    ) -> int:
        """Return the revision of one change of several items."""
        self.revision += 1
        for key, value, lease in writes:
            old = self.items.get(key)
            created = old.created if old else self.revision
            item = StoredItem(key, self.revision, value, created, lease)
            self.items[key] = item
            self.history.append(item)
        for key in removed:
            if self.items.pop(key, None) is not None:
                self.history.append(StoredItem(key, self.revision, None))
        return self.revision

    def forget_history(self) -> None:
        """Drop the changes made so far, as the store may at any time."""
        self.history.clear()
        self.oldest = self.revision

    def expire(self) -> None:
        """Remove the items of leases that have ended."""
        now = self._clock.now()
        ended = [name for name, row in self.leases.items() if row.ends <= now]
        for name in ended:
            self.leases.pop(name)
            keys = [k for k, item in self.items.items() if item.lease == name]
            if keys:
                self.commit([], keys)

    def changes(self, prefix: str, after: int) -> list[StoredItem]:
        """Return the changes under a prefix after a revision."""
        return [
            item
            for item in self.history
            if item.revision > after and item.key.startswith(prefix)
        ]


Answer = tuple[int, Any]
Handler = Callable[[dict[str, str], Any], Coroutine[Any, Any, Answer]]


class PlatformStoreServer(LoopbackService):
    """
    Serves a store's content over HTTP.

    :ivar trouble: how calls are treated.
    :ivar lose: writes that take effect and whose answer is lost.
    :ivar late_s: seconds after which a lost write takes effect.
    :ivar calls: number of calls by path.
    """

    def __init__(self, clock: Clock, writes_per_s: int = 400) -> None:
        """Start without content and without trouble."""
        self.content = StoreContent(clock)
        self.trouble = Trouble.NONE
        self.lose = 0
        self.late_s = 0.0
        self.page_items = 500
        self.calls: collections.Counter[str] = collections.Counter()
        self._clock = clock
        self._writes_per_s = writes_per_s
        self._writes: collections.deque[float] = collections.deque()
        self._changed = asyncio.Event()
        super().__init__(self._serve)

    def put(self, key: str, value: Any) -> None:
        """Write a JSON value as the operator or a target would."""
        self.content.put(key, json.dumps(value).encode())
        self.wake()

    def remove(self, key: str) -> None:
        """Delete a key."""
        self.content.remove(key)
        self.wake()

    def wake(self) -> None:
        """Let waiting watches look again."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self,
        request: CallerRequest,
        caller: CallerConnection,
    ) -> None:
        """Answer a call, or treat it as the trouble says."""
        self.calls[request.path] += 1
        if self.trouble is Trouble.SILENT:
            await asyncio.sleep(60)
        if self.trouble is Trouble.RESET:
            caller.abort()
            return
        if self.trouble is Trouble.BUSY:
            caller.answer(503, [], b'')
            return
        query = dict(urllib.parse.parse_qsl(request.target.partition('?')[2]))
        body = json.loads(request.body) if request.body else {}
        self.content.expire()
        status, answer = await self._dispatch(request.path, query, body)
        if status < 0:
            caller.abort()
            return
        headers = [('content-type', 'application/json')]
        caller.answer(status, headers, json.dumps(answer).encode())

    async def _dispatch(
        self,
        path: str,
        query: dict[str, str],
        body: Any,
    ) -> Answer:
        """Return the answer to a call by its path."""
        handlers: dict[str, Handler] = {
            '/api/kv-key': self._read,
            '/api/kv-range': self._range,
            '/api/kv-watch': self._watch,
            '/api/kv-txn': self._transact,
            '/api/kv-lease': self._grant,
        }
        if path in handlers:
            return await handlers[path](query, body)
        number = int(path.rpartition('/')[2])
        if path.startswith('/api/kv-keep/'):
            return self._keep(number)
        self.content.leases[number].ends = 0
        self.content.expire()
        self.wake()
        return 200, {}

    async def _read(self, query: dict[str, str], body: Any) -> Answer:
        """Return an item."""
        item = self.content.items.get(query['key'])
        if item is None:
            return 404, {'storeRevision': self.content.revision}
        stored = {**_render(item), 'storeRevision': self.content.revision}
        return 200, stored

    async def _range(self, query: dict[str, str], body: Any) -> Answer:
        """Return a page of the items under a prefix."""
        after = query.get('after', '')
        found = sorted(
            key
            for key in self.content.items
            if key.startswith(query['prefix']) and key > after
        )
        page = found[: self.page_items]
        return 200, {
            'items': [_render(self.content.items[key]) for key in page],
            'hasMore': len(found) > len(page),
            'storeRevision': self.content.revision,
        }

    async def _watch(self, query: dict[str, str], body: Any) -> Answer:
        """Return the changes under a prefix, after a wait if need be."""
        after = int(query['after'])
        if after < self.content.oldest:
            return 410, {}
        ends = self._clock.now() + int(query['waitMs']) / _MS_PER_S
        events = self.content.changes(query['prefix'], after)
        while not events and self._clock.now() < ends:
            if after < self.content.oldest:
                return 410, {}
            await self._wait(ends - self._clock.now())
            events = self.content.changes(query['prefix'], after)
        return 200, {
            'events': [_render(item) for item in events],
            'storeRevision': self.content.revision,
        }

    async def _wait(self, seconds: float) -> None:
        """Wait for a change, or some seconds."""
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return

    async def _transact(self, query: dict[str, str], body: Any) -> Answer:
        """Write and remove items if all conditions hold."""
        if not self._may_write():
            return 429, {}
        if self.lose and self.late_s:
            self.lose -= 1
            loop = asyncio.get_running_loop()
            loop.call_later(self.late_s, self._commit, body)
            return -1, {}
        answer = self._commit(body)
        if self.lose:
            self.lose -= 1
            return -1, {}
        return answer

    def _commit(self, body: Any) -> Answer:
        """Make a change if its conditions hold."""
        rows = body['expectedRev']
        if any(self._revision(row['key']) != row['revision'] for row in rows):
            current = [self._current(row['key']) for row in rows]
            return 412, {'items': current}
        writes = [
            (entry['key'], entry['value'], entry.get('lease', 0))
            for entry in body['writes']
        ]
        if any(entry[0].startswith(('op/', 'servers/')) for entry in writes):
            return 403, {}
        if any(row[2] and row[2] not in self.content.leases for row in writes):
            return 404, {}
        revision = self.content.commit(writes, body.get('remove', []))
        self.wake()
        return 200, {'revision': revision}

    async def _grant(self, query: dict[str, str], body: Any) -> Answer:
        """Return a new lease."""
        lease = len(self.content.leases) + 77_000
        ttl_ms = max(_MS_PER_S, int(body['ttlMs']))
        ends = self._clock.now() + ttl_ms / _MS_PER_S
        self.content.leases[lease] = Lease(ttl_ms, ends)
        return 200, {'lease': lease, 'ttlMs': ttl_ms}

    def _keep(self, number: int) -> Answer:
        """Renew a lease."""
        lease = self.content.leases.get(number)
        if lease is None:
            return 404, {}
        lease.ends = self._clock.now() + lease.ttl_ms / _MS_PER_S
        return 200, {'ttlMs': lease.ttl_ms}

    def _may_write(self) -> bool:
        """Return whether a write keeps to the rate."""
        now = self._clock.now()
        while self._writes and self._writes[0] <= now - _WINDOW_S:
            self._writes.popleft()
        if len(self._writes) >= self._writes_per_s:
            return False
        self._writes.append(now)
        return True

    def _revision(self, key: str) -> int:
        """Return the revision of a key, 0 if it doesn't exist."""
        item = self.content.items.get(key)
        return item.revision if item else 0

    def _current(self, key: str) -> dict[str, Any]:
        """Return an item as a failed condition reports it."""
        item = self.content.items.get(key)
        return _render(item) if item else {'key': key, 'revision': 0}


def _render(item: StoredItem) -> dict[str, Any]:
    """Return an item as the store writes it."""
    if item.value is None:
        return {'key': item.key, 'revision': item.revision, 'deleted': True}
    return {
        'key': item.key,
        'value': item.value,
        'revision': item.revision,
        'createRevision': item.created,
        'lease': item.lease,
    }
