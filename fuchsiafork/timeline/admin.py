"""Queries the admin addresses of many processes in parallel."""

import concurrent.futures
from collections.abc import Callable, Iterable, Iterator
from typing import TypeVar

import urllib3

from fuchsiafork.timeline.replies import StatusReply, decode_status

# Limits the memory for responses: 16 at a time, each under 8 MiB.
_MAX_PARALLEL = 16
_MAX_RESPONSE_BYTES = 8 * 1024 * 1024
_HTTP_OK = 200

_Reply = TypeVar('_Reply')
Replies = Iterator[tuple[str, _Reply | None]]


class AdminClient:
    """Reads JSON responses; the result is None if a process does not answer."""

    def __init__(self, timeout_s: float = 2.0) -> None:
        """Set the timeout of each call."""
        self._pool = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(timeout_s, timeout_s),
        )

    def fetch_all(
        self,
        paths: Iterable[tuple[str, str]],
        decode: Callable[[bytes], _Reply],
    ) -> Replies[_Reply]:
        """Yield address and decoded response for pairs of address and path."""
        requests = list(paths)
        with concurrent.futures.ThreadPoolExecutor(_MAX_PARALLEL) as workers:
            # One batch at a time, so that responses do not accumulate.
            for start in range(0, len(requests), _MAX_PARALLEL):
                batch = requests[start : start + _MAX_PARALLEL]
                futures = [
                    workers.submit(self._fetch, address, path, decode)
                    for address, path in batch
                ]
                for (address, _), future in zip(batch, futures, strict=True):
                    yield address, future.result()

    def discover(
        self,
        addresses: Iterable[str],
    ) -> dict[str, StatusReply | None]:
        """Return the status of these processes and all that they report."""
        found: dict[str, StatusReply | None] = {}
        pending = set(addresses)
        while pending:
            paths = [(address, '/status') for address in sorted(pending)]
            found.update(self.fetch_all(paths, decode_status))
            answered = [status for status in found.values() if status]
            reported = {
                reported for status in answered for reported in status.admins
            }
            pending = reported - set(found)
        return found

    def _fetch(
        self,
        address: str,
        path: str,
        decode: Callable[[bytes], _Reply],
    ) -> _Reply | None:
        """Return one decoded response, or None if there is no valid one."""
        try:
            return decode(self._get(f'http://{address}{path}'))
        except (urllib3.exceptions.HTTPError, ValueError):
            return None

    def _get(self, url: str) -> bytes:
        """Return the body, empty after an error or if it is too large."""
        response = self._pool.request('GET', url, preload_content=False)
        try:
            raw = response.read(_MAX_RESPONSE_BYTES)
        finally:
            response.release_conn()
        complete = (
            response.status == _HTTP_OK and len(raw) < _MAX_RESPONSE_BYTES
        )
        return bytes(raw) if complete else b''
