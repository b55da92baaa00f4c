"""WSGI application of the key-value stand-in (JSON gateway of etcd v3)."""

import dataclasses
import functools
import json
import random
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from itertools import starmap
from typing import Any

from standins import store_wire as wire
from standins.store_model import StoreModel, ValueTooLargeError
from standins.store_wire import RateLimit, ServerFaults

# A waiting watch occupies a thread; a message at this interval detects a
# disconnected client.
_WATCH_PROGRESS_S = 1.0

# WSGI environment key of the server's request object.
SERVER_REQUEST_KEY = 'standins.request'

_Body = dict[str, Any]
_Refusal = tuple[str, _Body]
_UNAVAILABLE: _Refusal = (
    '503 Service Unavailable',
    {'code': 14, 'message': 'unavailable'},
)
_TOO_MANY: _Refusal = (
    '429 Too Many Requests',
    {'code': 8, 'message': 'etcdserver: too many requests'},
)
_TOO_LARGE: _Refusal = (
    '400 Bad Request',
    {'code': 3, 'message': 'etcdserver: request is too large'},
)
_NOT_FOUND: _Refusal = ('404 Not Found', {'code': 5, 'message': 'no method'})
_CALL_KINDS = {
    '/v3/kv/range': 'read',
    '/v3/watch': 'read',
    '/v3/kv/txn': 'write',
    '/v3/lease/grant': 'write',
    '/v3/lease/keepalive': 'write',
    '/v3/lease/revoke': 'write',
}


class StoreApplication:
    """
    The key-value service as a WSGI application.

    :ivar refused: number of calls refused by the rate limit.
    :ivar watches: number of watches started.
    :ivar changed: guards the model; notified after each call.
    """

    def __init__(
        self,
        *,
        reads_per_s: float = 2000,
        writes_per_s: float = 500,
        now: Callable[[], float] = time.monotonic,
        seed: int = 1,
    ) -> None:
        """Start empty and without injected faults."""
        self.model = StoreModel(now)
        self.faults = ServerFaults()
        self.refused = 0
        self.stopping = False
        self.watches = 0
        self.changed = threading.Condition()
        self._limits = {
            'read': RateLimit(reads_per_s, now),
            'write': RateLimit(writes_per_s, now),
        }
        self._rng = random.Random(seed)
        self._paths: dict[str, Callable[[_Body], _Body]] = {
            '/v3/kv/range': self._range,
            '/v3/kv/txn': self._txn,
            '/v3/lease/grant': self._grant,
            '/v3/lease/keepalive': self._keep_alive,
            '/v3/lease/revoke': self._revoke,
            '/faults': self._set_faults,
            '/counts': self._counts,
        }

    def __call__(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        """Answer one call."""
        path = environ['PATH_INFO']
        length = int(environ.get('CONTENT_LENGTH') or 0)
        body = json.loads(environ['wsgi.input'].read(length) or b'{}')
        kind = _CALL_KINDS.get(path, '')
        refusal = self._admit(kind)
        if refusal is None and path == '/v3/watch':
            start_response('200 OK', [('Content-Type', 'application/json')])
            return self._watch(body['create_request'])
        status, answer = refusal or self._apply(path, body)
        if kind == 'write' and refusal is None and self._drops_answer():
            # The connection closes before the announced content length.
            environ[SERVER_REQUEST_KEY].close_connection = True
            start_response('200 OK', [('Content-Length', '2')])
            return []
        encoded = json.dumps(answer).encode()
        start_response(
            status,
            [
                ('Content-Type', 'application/json'),
                ('Content-Length', str(len(encoded))),
            ],
        )
        return [encoded]

    def _admit(self, kind: str) -> _Refusal | None:
        """Apply the injected delay; return a refusal, or None if accepted."""
        if not kind:
            return None
        if self.faults.delay_s:
            time.sleep(self.faults.delay_s)
        if self.faults.down:
            return _UNAVAILABLE
        with self.changed:
            if self._limits[kind].try_acquire():
                return None
            self.refused += 1
        return _TOO_MANY

    def _drops_answer(self) -> bool:
        """Return whether the answer of this write is to be lost."""
        return self._rng.random() < self.faults.lost_answer

    def _apply(self, path: str, body: _Body) -> _Refusal:
        """Execute a call and return its status and answer."""
        method = self._paths.get(path)
        if method is None:
            return _NOT_FOUND
        try:
            with self.changed:
                answer = method(body)
                self.changed.notify_all()
        except ValueTooLargeError:
            return _TOO_LARGE
        return '200 OK', answer

    def _range(self, body: _Body) -> _Body:
        """Return the rows of a key or a prefix."""
        key = wire.decode_field(body['key']).decode()
        if body.get('range_end'):
            rows = self.model.list_prefix(key)
        else:
            revision, value = self.model.read(key)
            rows = [] if value is None else [(key, revision, value)]
        found = list(starmap(wire.encode_row, rows))
        answer: _Body = {'header': self._header()}
        if found:
            answer.update(kvs=found, count=str(len(found)))
        return answer

    def _txn(self, body: _Body) -> _Body:
        """Execute a compare-and-swap of one key."""
        compare = body['compare'][0]
        write = body['success'][0]
        put = write.get('request_put')
        key = wire.decode_field(compare['key']).decode()
        succeeded, revision = self.model.swap(
            key,
            int(compare.get('mod_revision', 0)),
            wire.decode_field(put.get('value', '')) if put else None,
            int(put.get('lease', 0)) if put else 0,
        )
        if succeeded:
            done = 'response_put' if put else 'response_delete_range'
            responses = [{done: {'header': self._header()}}]
            return {
                'header': self._header(),
                'succeeded': True,
                'responses': responses,
            }
        failure_range = body['failure'][0]['request_range']
        row = self.model.rows.get(key)
        value = row.value if row and not failure_range.get('keys_only') else b''
        found = {'kvs': [wire.encode_row(key, revision, value)]} if row else {}
        return {
            'header': self._header(),
            'responses': [{'response_range': found}],
        }

    def _grant(self, body: _Body) -> _Body:
        """Create a lease."""
        lease = self.model.grant(int(body['TTL']))
        return {
            'header': self._header(),
            'ID': str(lease),
            'TTL': body['TTL'],
        }

    def _keep_alive(self, body: _Body) -> _Body:
        """Renew a lease; the answer has no TTL if it has expired."""
        ttl = self.model.keep_alive(int(body['ID']))
        found = {'header': self._header(), 'ID': body['ID']}
        if ttl:
            found['TTL'] = str(int(ttl))
        return {'result': found}

    def _revoke(self, body: _Body) -> _Body:
        """Revoke a lease."""
        lease = self.model.leases.get(int(body['ID']))
        if lease is not None:
            lease.expires_at = 0
            self.model.expire()
        return {'header': self._header()}

    def _set_faults(self, body: _Body) -> _Body:
        """Change the given faults and return all."""
        self.faults = dataclasses.replace(self.faults, **body)
        return dataclasses.asdict(self.faults)

    def _counts(self, body: _Body) -> _Body:
        """Return the number of calls since the start, by kind."""
        return {
            **self.model.calls,
            'refused': self.refused,
            'watches': self.watches,
        }

    def _header(self) -> _Body:
        """Return the header of an answer."""
        return {'revision': str(self.model.revision)}

    def _watch(self, request: _Body) -> Iterator[bytes]:
        """Yield the messages of a watch until an outage or the stop."""
        key = wire.decode_field(request['key']).decode()
        exact = not request.get('range_end')
        with self.changed:
            self.model.calls['read'] += 1
            self.watches += 1
            header = self._header()
            start = int(request.get('start_revision', 0))
        seen = start - 1 if start else int(header['revision'])
        yield wire.encode_message({'header': header, 'created': True})
        while not self.stopping and not self.faults.down:
            events, seen = self._changes(key, seen, exact=exact)
            update: _Body = {'header': {'revision': str(seen)}}
            if events:
                update['events'] = events
            yield wire.encode_message(update)
            with self.changed:
                self.changed.wait_for(
                    functools.partial(self._has_changes, seen),
                    _WATCH_PROGRESS_S,
                )

    def _has_changes(self, seen: int) -> bool:
        """Return whether a watch has to stop or has unseen changes."""
        return self.stopping or self.faults.down or self.model.revision > seen

    def _changes(
        self,
        key: str,
        seen: int,
        *,
        exact: bool,
    ) -> tuple[list[_Body], int]:
        """Return the events after a revision, and the last revision covered."""
        with self.changed:
            rows = list(self.model.changes_since(seen, key))
            events = [
                wire.encode_event(*row)
                for row in rows
                if not exact or row[1] == key
            ]
            return events, max(seen, self.model.revision)
