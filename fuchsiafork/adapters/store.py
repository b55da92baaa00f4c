"""Blocking client of the key-value service (etcd v3 JSON gateway)."""

import functools
import json
from collections.abc import Iterator, Sequence
from typing import Any

import urllib3

from fuchsiafork.adapters import store_wire as wire
from fuchsiafork.adapters.store_wire import StoreCallError, WatchEvent
from fuchsiafork.kernel import outbox as effects

# A silent watch is opened again after this time, so that a connection that
# a switch dropped without a reset does not hide changes for ever.
WATCH_IDLE_S = 30.0

_POOL_SIZE = 64
_HTTP_OK = 200
_HTTP_SERVER_ERROR = 500


class StoreClient:
    """Calls the service at the first of its addresses that answers."""

    def __init__(self, urls: Sequence[str], timeout_s: float = 2.0) -> None:
        """Keep the addresses; each call may take ``timeout_s`` seconds."""
        self._urls = [url.rstrip('/') for url in urls]
        self._first = 0
        self._timeout_s = timeout_s
        self._closed = False
        self._pool = urllib3.PoolManager(
            num_pools=max(1, len(self._urls)),
            maxsize=_POOL_SIZE,
            retries=False,
        )

    def execute(self, operation: effects.StoreOperation) -> Any:
        """
        Return the answer of an operation, as a ``StoreAnswer``.

        Failures come back as ``StoreFailed``, never as exceptions.
        """
        try:
            return self._run(operation)
        except StoreCallError as error:
            writes = isinstance(operation, effects.CompareAndSwap)
            return effects.failed(
                operation,
                unknown=error.outcome_unknown and writes,
            )

    def swap(
        self,
        key: str,
        expected: int,
        value: bytes | None,
        lease: int = 0,
    ) -> tuple[bool, int]:
        """
        Return whether a write took effect and the key's revision.

        :raises StoreCallError: if the service gave no answer.
        """
        present = {'key': wire.pack(key.encode()), 'keys_only': True}
        answer = self._post(
            '/v3/kv/txn',
            {
                'compare': [
                    {
                        'key': present['key'],
                        'target': 'MOD',
                        'result': 'EQUAL',
                        'mod_revision': str(expected),
                    }
                ],
                'success': [wire.write_request(key, value, lease)],
                'failure': [{'request_range': present}],
            },
        )
        if answer.get('succeeded'):
            return True, int(answer['header']['revision'])
        found = answer['responses'][0]['response_range'].get('kvs', [])
        return False, int(found[0]['mod_revision']) if found else 0

    def grant_lease(self, ttl_s: int) -> int:
        """
        Return the id of a new lease.

        :raises StoreCallError: if the service gave no answer.
        """
        answer = self._post('/v3/lease/grant', {'TTL': str(ttl_s), 'ID': '0'})
        return int(answer['ID'])

    def keep_lease(self, lease: int) -> int:
        """
        Return the seconds that a renewed lease lasts, 0 if it has lapsed.

        :raises StoreCallError: if the service gave no answer.
        """
        answer = self._post('/v3/lease/keepalive', {'ID': str(lease)})
        return int(answer.get('result', {}).get('TTL', 0))

    def revoke_lease(self, lease: int) -> None:
        """
        End a lease and delete its keys.

        :raises StoreCallError: if the service gave no answer.
        """
        self._post('/v3/lease/revoke', {'ID': str(lease)})

    def watch(
        self,
        key: str,
        from_revision: int,
        *,
        prefix: bool = False,
        idle_s: float = WATCH_IDLE_S,
    ) -> Iterator[WatchEvent]:
        """
        Yield the writes to a key, or a prefix, from a revision on.

        A watch that is silent for ``idle_s`` is opened again. The iterator
        ends after :meth:`close`.

        :raises StoreCallError: if the watch breaks; the caller opens it
            again after the last revision it saw.
        """
        next_revision = from_revision
        while not self._closed:
            request = wire.range_request(key, prefix=prefix)
            request['start_revision'] = str(next_revision)
            for event in self._watch_once(request, idle_s):
                next_revision = event.revision + 1
                yield event

    def close(self) -> None:
        """Drop the connections and end watches when they are next idle."""
        self._closed = True
        self._pool.clear()

    @functools.singledispatchmethod
    def _run(self, operation: Any) -> effects.StoreAnswer:
        """Return the answer of an operation."""
        raise TypeError(f'unknown operation {operation!r}')

    @_run.register
    def _(self, operation: effects.ReadKey) -> effects.StoreAnswer:
        answer = self._post(
            '/v3/kv/range',
            wire.range_request(operation.key, prefix=False),
        )
        rows = wire.rows(answer) or ((operation.key, 0, None),)
        _, revision, value = rows[0]
        return effects.KeyRead(operation.tag, operation.key, revision, value)

    @_run.register
    def _(self, operation: effects.ListKeys) -> effects.StoreAnswer:
        answer = self._post(
            '/v3/kv/range',
            wire.range_request(operation.prefix, prefix=True),
        )
        return effects.KeysListed(
            operation.tag,
            operation.prefix,
            wire.rows(answer),
        )

    @_run.register
    def _(self, operation: effects.CompareAndSwap) -> effects.StoreAnswer:
        succeeded, revision = self.swap(
            operation.key,
            operation.expected_revision,
            operation.value,
        )
        return effects.SwapDone(
            operation.tag,
            operation.key,
            succeeded,
            revision,
        )

    def _post(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Return the JSON answer of a call."""
        response = self._open(path, body, self._timeout_s, stream=False)
        try:
            answer = json.loads(response.data)
        except ValueError:
            raise StoreCallError(
                f'{path}: answer is not JSON',
                outcome_unknown=True,
            ) from None
        if response.status != _HTTP_OK:
            raise StoreCallError(
                f'{path}: {response.status} {answer.get("message", "")!r}',
                outcome_unknown=response.status >= _HTTP_SERVER_ERROR,
            )
        return dict(answer)

    def _open(
        self,
        path: str,
        body: dict[str, Any],
        read_timeout_s: float,
        *,
        stream: bool,
    ) -> urllib3.BaseHTTPResponse:
        """Return the response of the first address that can be reached."""
        for _ in self._urls:
            url = self._urls[self._first % len(self._urls)]
            try:
                return self._pool.request(
                    'POST',
                    f'{url}{path}',
                    json=body,
                    preload_content=not stream,
                    timeout=urllib3.Timeout(self._timeout_s, read_timeout_s),
                )
            except (
                urllib3.exceptions.NewConnectionError,
                urllib3.exceptions.ConnectTimeoutError,
            ):
                # Nothing was sent, so another address may be tried.
                self._first += 1
            except urllib3.exceptions.HTTPError as error:
                self._first += 1
                raise StoreCallError(
                    f'{path}: {error!r}',
                    outcome_unknown=True,
                ) from None
        raise StoreCallError(
            f'{path}: no address of {self._urls!r} can be reached',
            outcome_unknown=False,
        )

    def _watch_once(
        self,
        request: dict[str, Any],
        idle_s: float,
    ) -> Iterator[WatchEvent]:
        """Yield events until the watch is silent for ``idle_s``."""
        body = {'create_request': request}
        response = self._open('/v3/watch', body, idle_s, stream=True)
        try:
            for line in wire.lines(response):
                yield from wire.watch_events(line)
        except urllib3.exceptions.ReadTimeoutError:
            return
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            raise StoreCallError(
                f'watch: {error!r}',
                outcome_unknown=False,
            ) from None
        finally:
            response.close()
        raise StoreCallError('watch: ended', outcome_unknown=False)
