"""Asks many processes at their admin addresses at once."""

import concurrent.futures
from collections.abc import Callable, Iterable, Iterator
from typing import TypeVar

import urllib3

from fuchsiafork.timeline.replies import StatusReply, decode_status

# Bounds the memory that answers take: 16 at once, each under 8 MiB.
_PARALLEL = 16
_MAX_ANSWER_BYTES = 8 * 1024 * 1024
_HTTP_OK = 200

_Reply = TypeVar('_Reply')
Answers = Iterator[tuple[str, _Reply | None]]


class AdminClient:
    """Reads JSON answers; a process that does not answer gives None."""

    def __init__(self, timeout_s: float = 2.0) -> None:
        """Give each call ``timeout_s`` seconds."""
        self._pool = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(timeout_s, timeout_s),
        )

    def ask_all(
        self,
        paths: Iterable[tuple[str, str]],
        decode: Callable[[bytes], _Reply],
    ) -> Answers[_Reply]:
        """Yield address and answer, for pairs of address and path."""
        asked = list(paths)
        with concurrent.futures.ThreadPoolExecutor(_PARALLEL) as workers:
            # A batch at a time, so that answers do not pile up.
            for start in range(0, len(asked), _PARALLEL):
                batch = asked[start : start + _PARALLEL]
                answers = [
                    workers.submit(self._ask, address, path, decode)
                    for address, path in batch
                ]
                for (address, _), answer in zip(batch, answers, strict=True):
                    yield address, answer.result()

    def discover(
        self,
        addresses: Iterable[str],
    ) -> dict[str, StatusReply | None]:
        """Return the status of these processes and of all they know."""
        found: dict[str, StatusReply | None] = {}
        wanted = set(addresses)
        while wanted:
            paths = [(address, '/status') for address in sorted(wanted)]
            found.update(self.ask_all(paths, decode_status))
            answered = [status for status in found.values() if status]
            known = {known for status in answered for known in status.admins}
            wanted = known - set(found)
        return found

    def _ask(
        self,
        address: str,
        path: str,
        decode: Callable[[bytes], _Reply],
    ) -> _Reply | None:
        """Return one answer, or None."""
        try:
            return decode(self._get(f'http://{address}{path}'))
        except (urllib3.exceptions.HTTPError, ValueError):
            return None

    def _get(self, url: str) -> bytes:
        """Return the body of an answer, empty if it is over the bound."""
        response = self._pool.request('GET', url, preload_content=False)
        try:
            raw = response.read(_MAX_ANSWER_BYTES)
        finally:
            response.release_conn()
        whole = response.status == _HTTP_OK and len(raw) < _MAX_ANSWER_BYTES
        return bytes(raw) if whole else b''
