"""Stand-in of the platform's store with its rate limit and injected faults."""

import asyncio
import base64
import collections
import dataclasses
import enum
import itertools
import json
import urllib.parse
from collections.abc import Callable, Coroutine
from typing import Any

from fuchsiafork.kernel import Clock
from fuchsiafork.transport.caller import CallerConnection, CallerRequest
from standins.loopback import LoopbackService
from standins.raw_connection import RawConnection, encode_response

_MS_PER_S = 1000
# Time for which a call that gets no answer is held.
_SILENCE_S = 60.0
_RATE_WINDOW_S = 1.0
# Time between two checks for expired leases while a watch waits.
_EXPIRY_INTERVAL_S = 0.2


class StoreFault(enum.Enum):
    """Fault that the store injects into every call."""

    NONE = 'none'
    BUSY = 'busy'
    RESET = 'reset'
    SILENT = 'silent'
    MALFORMED = 'malformed'


@dataclasses.dataclass(frozen=True, slots=True)
class StoredItem:
    """A version of an item; a value of None is a deletion."""

    key: str
    revision: int
    value: str | None
    create_revision: int = 0
    lease: int = 0


@dataclasses.dataclass(slots=True)
class Lease:
    """A lease with its time to live and its expiry on the clock, in seconds."""

    ttl_ms: int
    expires_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCopy:
    """All that a store held at one moment."""

    revision: int
    compact_revision: int
    history: tuple[StoredItem, ...]
    items: dict[str, StoredItem]
    leases: dict[int, Lease]


class StoreContent:
    """
    Items, their change history and leases, without I/O.

    :ivar compact_revision: watches can only start at or after this revision.
    :ivar era: number of returns from a copy.
    """

    def __init__(self, clock: Clock) -> None:
        """Start empty, with a revision above 0."""
        self.revision = 100
        self.history: list[StoredItem] = []
        self.compact_revision = self.revision
        self.items: dict[str, StoredItem] = {}
        self.leases: dict[int, Lease] = {}
        self.era = 1
        self._clock = clock

    def copy(self) -> StoreCopy:
        """Return a copy that the store can come back from."""
        return StoreCopy(
            self.revision,
            self.compact_revision,
            tuple(self.history),
            dict(self.items),
            dict(self.leases),
        )

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy; all changes since are lost."""
        self.era += 1
        self.revision = copy.revision
        self.compact_revision = copy.compact_revision
        self.history = list(copy.history)
        self.items = dict(copy.items)
        self.leases = dict(copy.leases)

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write one item and return the new revision."""
        return self.commit([(key, base64.b64encode(value).decode(), lease)], [])

    def get(self, key: str) -> bytes | None:
        """Return a value, None if the key doesn't exist."""
        item = self.items.get(key)
        if item is None or item.value is None:
            return None
        return base64.b64decode(item.value)

    def remove(self, key: str) -> int:
        """Delete one item and return the new revision."""
        return self.commit([], [key])

    def commit(
        self,
        writes: list[tuple[str, str, int]],
        deleted_keys: list[str],
    ) -> int:
        """Write and delete items atomically and return the new revision."""
        self.revision += 1
        for key, value, lease in writes:
            old = self.items.get(key)
            create_revision = old.create_revision if old else self.revision
            item = StoredItem(key, self.revision, value, create_revision, lease)
            self.items[key] = item
            self.history.append(item)
        for key in deleted_keys:
            if self.items.pop(key, None) is not None:
                self.history.append(StoredItem(key, self.revision, None))
        return self.revision

    def compact_history(self) -> None:
        """Drop the change history, as the real store may at any time."""
        self.history.clear()
        self.compact_revision = self.revision

    def expire(self) -> None:
        """Delete expired leases and the items attached to them."""
        now = self._clock.now()
        expired = [
            lease_id
            for lease_id, lease in self.leases.items()
            if lease.expires_at <= now
        ]
        for lease_id in expired:
            self.leases.pop(lease_id)
            keys = [
                key
                for key, item in self.items.items()
                if item.lease == lease_id
            ]
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

    :ivar fault: fault injected into every call.
    :ivar malformed_body: body of each answer of the fault ``MALFORMED``.
    :ivar copies_answers: whether each answer is written once more when the
        next call arrives on its connection, ahead of that call's answer.
    :ivar lost_answers: number of next writes that take effect, but whose
        connection is aborted instead of an answer.
    :ivar lost_write_delay_s: seconds after the abort at which such a write
        takes effect; 0 applies it before the abort.
    :ivar lost_watches: number of next answers to a watch that are lost with
        the connection left open.
    :ivar page_size: items in one page of a range read.
    :ivar calls: number of calls by path.
    :ivar watches: number of watch calls by prefix.
    :ivar watched_bytes: size of the answers to watches by prefix.
    """

    def __init__(self, clock: Clock, writes_per_s: int = 400) -> None:
        """Start without content and without faults."""
        self.content = StoreContent(clock)
        self.fault = StoreFault.NONE
        self.malformed_body = b''
        self.copies_answers = False
        self.lost_answers = 0
        self.lost_write_delay_s = 0.0
        self.lost_watches = 0
        self._abandoned_before = 0
        self._watch_numbers = itertools.count(1)
        self.page_size = 500
        self.calls: collections.Counter[str] = collections.Counter()
        self.watches: collections.Counter[str] = collections.Counter()
        self.watched_bytes: collections.Counter[str] = collections.Counter()
        self._clock = clock
        self._writes_per_s = writes_per_s
        self._writes: collections.deque[float] = collections.deque()
        self._changed = asyncio.Event()
        super().__init__(self._serve, RawConnection)

    def put(self, key: str, value: Any) -> None:
        """Write a JSON value, as the operator or a target does."""
        self.content.put(key, json.dumps(value).encode())
        self.notify_watchers()

    def remove(self, key: str) -> None:
        """Delete a key."""
        self.content.remove(key)
        self.notify_watchers()

    def restore(self, copy: StoreCopy, *, rewrite: bool = True) -> None:
        """
        Come back from a copy.

        :param rewrite: whether the operator and the targets write again at
            once what they wrote since.
        """
        newest = self.content.items
        self.content.restore(copy)
        for key, item in newest.items():
            known = self.content.items.get(key)
            if not rewrite or known == item:
                continue
            if key.startswith(('op/', 'servers/')):
                self.content.commit([(key, item.value or '', 0)], [])
        self.server.break_connections()
        self.notify_watchers()

    def abandon_watches(self) -> None:
        """Never answer the watches that wait now; later calls are answered."""
        self._abandoned_before = next(self._watch_numbers)

    def notify_watchers(self) -> None:
        """Make waiting watches check for changes."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self,
        request: CallerRequest,
        caller: CallerConnection,
    ) -> None:
        """Answer a call, or inject the configured fault."""
        self.calls[request.path] += 1
        if isinstance(caller, RawConnection):
            caller.write_late_copy()
        if await self._inject_fault(caller):
            return
        query = dict(urllib.parse.parse_qsl(request.target.partition('?')[2]))
        body = json.loads(request.body) if request.body else {}
        self.content.expire()
        status, answer = await self._dispatch(request.path, query, body)
        if self._loses(request.path, answer):
            await asyncio.sleep(_SILENCE_S)
        if status < 0:
            caller.abort()
            return
        headers = [
            ('content-type', 'application/json'),
            ('store-era', str(self.content.era)),
        ]
        content = json.dumps(answer).encode()
        self.watched_bytes[query.get('prefix', '')] += len(content)
        caller.answer(status, headers, content)
        if self.copies_answers and isinstance(caller, RawConnection):
            caller.late_copy = encode_response(status, headers, content)

    async def _inject_fault(self, caller: CallerConnection) -> bool:
        """Answer a call as the configured fault does; return whether it did."""
        if self.fault is StoreFault.SILENT:
            await asyncio.sleep(_SILENCE_S)
        if self.fault is StoreFault.RESET:
            caller.abort()
        elif self.fault is StoreFault.BUSY:
            caller.answer(503, [], b'')
        elif self.fault is StoreFault.MALFORMED:
            caller.answer(200, [], self.malformed_body)
        else:
            return False
        return True

    def _loses(self, path: str, answer: Any) -> bool:
        """Return whether the answer to a watch with changes is lost."""
        lost = path.endswith('watch') and self.lost_watches > 0
        if not lost or not answer.get('events'):
            return False
        self.lost_watches -= 1
        return True

    async def _dispatch(
        self,
        path: str,
        query: dict[str, str],
        body: Any,
    ) -> Answer:
        """Return status and answer; status -1 aborts the connection."""
        handlers: dict[str, Handler] = {
            '/api/kv-key': self._read,
            '/api/kv-range': self._range,
            '/api/kv-watch': self._watch,
            '/api/kv-txn': self._transact,
            '/api/kv-lease': self._grant_lease,
        }
        if path in handlers:
            return await handlers[path](query, body)
        lease_id = int(path.rpartition('/')[2])
        if path.startswith('/api/kv-keep/'):
            return self._keep_alive(lease_id)
        self.content.leases[lease_id].expires_at = 0
        self.content.expire()
        self.notify_watchers()
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
        page = found[: self.page_size]
        return 200, {
            'items': [_render(self.content.items[key]) for key in page],
            'hasMore': len(found) > len(page),
            'storeRevision': self.content.revision,
        }

    async def _watch(self, query: dict[str, str], body: Any) -> Answer:
        """Wait for changes under a prefix and return them, none at timeout."""
        self.watches[query['prefix']] += 1
        number = next(self._watch_numbers)
        after = int(query['after'])
        if not self._has_history(after):
            return 410, {}
        deadline = self._clock.now() + int(query['waitMs']) / _MS_PER_S
        events = self.content.changes(query['prefix'], after)
        while not events and self._clock.now() < deadline:
            if not self._has_history(after):
                return 410, {}
            left = deadline - self._clock.now()
            await self._wait_for_change(min(left, _EXPIRY_INTERVAL_S))
            self.content.expire()
            events = self.content.changes(query['prefix'], after)
        if number < self._abandoned_before:
            await asyncio.sleep(_SILENCE_S)
        return 200, {
            'events': [_render(item) for item in events],
            'storeRevision': self.content.revision,
        }

    def _has_history(self, after: int) -> bool:
        """Return whether all changes after a revision are known."""
        content = self.content
        return content.compact_revision <= after <= content.revision

    async def _wait_for_change(self, seconds: float) -> None:
        """Wait for a change, at most the given seconds."""
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return

    async def _transact(self, query: dict[str, str], body: Any) -> Answer:
        """Apply a transaction, subject to the rate limit and lost answers."""
        if not self._admit_write():
            return 429, {}
        if self.lost_answers and self.lost_write_delay_s:
            self.lost_answers -= 1
            loop = asyncio.get_running_loop()
            loop.call_later(self.lost_write_delay_s, self._commit, body)
            return -1, {}
        answer = self._commit(body)
        if self.lost_answers:
            self.lost_answers -= 1
            return -1, {}
        return answer

    def _commit(self, body: Any) -> Answer:
        """Write and delete items if all expected revisions match."""
        rows = body['expectedRev']
        if any(self._revision(row['key']) != row['revision'] for row in rows):
            current = [self._describe_current(row['key']) for row in rows]
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
        self.notify_watchers()
        return 200, {'revision': revision}

    async def _grant_lease(self, query: dict[str, str], body: Any) -> Answer:
        """Create a lease."""
        lease = len(self.content.leases) + 77_000
        ttl_ms = max(_MS_PER_S, int(body['ttlMs']))
        expires_at = self._clock.now() + ttl_ms / _MS_PER_S
        self.content.leases[lease] = Lease(ttl_ms, expires_at)
        return 200, {'lease': lease, 'ttlMs': ttl_ms}

    def _keep_alive(self, lease_id: int) -> Answer:
        """Renew a lease."""
        lease = self.content.leases.get(lease_id)
        if lease is None:
            return 404, {}
        lease.expires_at = self._clock.now() + lease.ttl_ms / _MS_PER_S
        return 200, {'ttlMs': lease.ttl_ms}

    def _admit_write(self) -> bool:
        """Count a write and return True unless it exceeds the rate limit."""
        now = self._clock.now()
        while self._writes and self._writes[0] <= now - _RATE_WINDOW_S:
            self._writes.popleft()
        if len(self._writes) >= self._writes_per_s:
            return False
        self._writes.append(now)
        return True

    def _revision(self, key: str) -> int:
        """Return the revision of a key, 0 if it doesn't exist."""
        item = self.content.items.get(key)
        return item.revision if item else 0

    def _describe_current(self, key: str) -> dict[str, Any]:
        """Return an item as the answer to a revision conflict has it."""
        item = self.content.items.get(key)
        return _render(item) if item else {'key': key, 'revision': 0}


def _render(item: StoredItem) -> dict[str, Any]:
    """Return the JSON form of an item."""
    if item.value is None:
        return {'key': item.key, 'revision': item.revision, 'deleted': True}
    return {
        'key': item.key,
        'value': item.value,
        'revision': item.revision,
        'createRevision': item.create_revision,
        'lease': item.lease,
    }
