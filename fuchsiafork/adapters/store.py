"""Blocking client of the key-value service (etcd v3 JSON gateway)."""

import functools
import json
from collections.abc import Iterator, Sequence
from typing import Any

import urllib3

from fuchsiafork.adapters import store_wire as wire
from fuchsiafork.adapters.store_wire import StoreCallError, WatchEvent
from fuchsiafork.kernel import outbox as effects

# A watch without events is reopened after this time, because a connection
# that a switch dropped without a reset would hide all later changes.
WATCH_IDLE_S = 30.0

_POOL_SIZE = 64
_HTTP_OK = 200
_HTTP_SERVER_ERROR = 500


class StoreClient:
    """Calls the service at the first address that can be reached."""

    def __init__(self, urls: Sequence[str], timeout_s: float = 2.0) -> None:
        """Use the addresses in turn; a call times out after ``timeout_s``."""
        self._urls = [url.rstrip('/') for url in urls]
        self._url_index = 0
        self._timeout_s = timeout_s
        self._closed = False
        self._pool = urllib3.PoolManager(
            num_pools=max(1, len(self._urls)),
            maxsize=_POOL_SIZE,
            retries=False,
        )

    def execute(self, operation: effects.StoreOperation) -> Any:
        """
        Run an operation and return its result, a ``StoreAnswer``.

        A failed call returns ``StoreFailed`` and raises no exception.
        """
        try:
            return self._run(operation)
        except StoreCallError as error:
            is_write = isinstance(operation, effects.CompareAndSwap)
            return effects.store_failure(
                operation,
                unknown=error.outcome_unknown and is_write,
            )

    def swap(
        self,
        key: str,
        expected: int,
        value: bytes | None,
        lease: int = 0,
    ) -> tuple[bool, int]:
        """
        Compare and swap; return whether it was applied, and the revision.

        :raises StoreCallError: if the service gave no answer.
        """
        current = {'key': wire.encode_base64(key.encode()), 'keys_only': True}
        answer = self._post(
            '/v3/kv/txn',
            {
                'compare': [
                    {
                        'key': current['key'],
                        'target': 'MOD',
                        'result': 'EQUAL',
                        'mod_revision': str(expected),
                    }
                ],
                'success': [wire.write_request(key, value, lease)],
                'failure': [{'request_range': current}],
            },
        )
        if answer.get('succeeded'):
            return True, int(answer['header']['revision'])
        found = answer['responses'][0]['response_range'].get('kvs', [])
        return False, int(found[0]['mod_revision']) if found else 0

    def grant_lease(self, ttl_s: int) -> int:
        """
        Create a lease and return its id.

        :raises StoreCallError: if the service did not answer.
        """
        answer = self._post('/v3/lease/grant', {'TTL': str(ttl_s), 'ID': '0'})
        return int(answer['ID'])

    def renew_lease(self, lease: int) -> int:
        """
        Renew a lease and return its time to live, 0 if it has expired.

        :raises StoreCallError: if the service did not answer.
        """
        answer = self._post('/v3/lease/keepalive', {'ID': str(lease)})
        return int(answer.get('result', {}).get('TTL', 0))

    def revoke_lease(self, lease: int) -> None:
        """
        Revoke a lease, which deletes its keys.

        :raises StoreCallError: if the service did not answer.
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
        Yield the writes to a key or a prefix, starting at a revision.

        A watch without events for ``idle_s`` is reopened. The iterator
        ends after :meth:`close`.

        :raises StoreCallError: if the watch breaks; the caller reopens it
            after the last revision that it received.
        """
        next_revision = from_revision
        while not self._closed:
            request = wire.range_request(key, prefix=prefix)
            request['start_revision'] = str(next_revision)
            for event in self._watch_once(request, idle_s):
                next_revision = event.revision + 1
                yield event

    def close(self) -> None:
        """Close pooled connections; watches end when they are next idle."""
        self._closed = True
        self._pool.clear()

    @functools.singledispatchmethod
    def _run(self, operation: Any) -> effects.StoreAnswer:
        """Run an operation and return its result."""
        raise TypeError(f'unknown operation {operation!r}')

    @_run.register
    def _(self, operation: effects.ReadKey) -> effects.StoreAnswer:
        answer = self._post(
            '/v3/kv/range',
            wire.range_request(operation.key, prefix=False),
        )
        entries = wire.parse_entries(answer) or ((operation.key, 0, None),)
        _, revision, value = entries[0]
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
            wire.parse_entries(answer),
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
        """Send a call and return its JSON response."""
        response = self._open(path, body, self._timeout_s, stream=False)
        try:
            answer = json.loads(response.data)
        except ValueError:
            raise StoreCallError(
                f'{path}: response is not JSON',
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
        """Send a request to the first reachable address."""
        for _ in self._urls:
            url = self._urls[self._url_index % len(self._urls)]
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
                # Nothing was sent, so another address can be tried.
                self._url_index += 1
            except urllib3.exceptions.HTTPError as error:
                self._url_index += 1
                raise StoreCallError(
                    f'{path}: {error!r}',
                    outcome_unknown=True,
                ) from None
        raise StoreCallError(
            f'{path}: cannot connect to any of {self._urls!r}',
            outcome_unknown=False,
        )

    def _watch_once(
        self,
        request: dict[str, Any],
        idle_s: float,
    ) -> Iterator[WatchEvent]:
        """Yield events until there was none for ``idle_s``."""
        body = {'create_request': request}
        response = self._open('/v3/watch', body, idle_s, stream=True)
        try:
            for line in wire.read_lines(response):
                yield from wire.parse_watch_events(line)
        except urllib3.exceptions.ReadTimeoutError:
            return
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            raise StoreCallError(
                f'watch: {error!r}',
                outcome_unknown=False,
            ) from None
        finally:
            response.close()
        raise StoreCallError('watch: stream ended', outcome_unknown=False)
