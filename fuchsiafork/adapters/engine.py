"""
Client of the model engines' and services' own interfaces.

Requests of callers go through :mod:`fuchsiafork.adapters.target_call`; this
module reads load, cache events and records, and gives orders.
"""

import dataclasses
import json
from typing import Any

import urllib3

from fuchsiafork.kernel.errors import TargetFailedError
from fuchsiafork.messages import CacheEvents, LoadReport

TIMEOUT_S = 2.0

_HTTP_CONFLICT = 409
_HTTP_SERVER_ERROR = 500


@dataclasses.dataclass(frozen=True, slots=True)
class RequestRecord:
    """
    What a target says of a request.

    :ivar state: ``unknown``, ``running``, ``done`` or ``cancelled``.
    :ivar tokens: tokens it has counted for the request, None from a plain
        service, which counts calls only.
    :ivar memory_s: seconds since the target's start, which its records do
        not outlive; 0 if it doesn't say.
    """

    request_id: str
    state: str
    tokens: int | None
    memory_s: float


class EngineClient:
    """Reads what targets publish, and gives them orders."""

    def __init__(self, pool: urllib3.PoolManager | None = None) -> None:
        """Use a connection pool."""
        self._pool = pool or urllib3.PoolManager(
            timeout=TIMEOUT_S,
            retries=False,
        )

    def load(self, target: str, url: str, asked_at: float) -> LoadReport:
        """
        Return the target's load report.

        :param asked_at: the owner's clock, in seconds.
        :raises TargetFailedError: if it gives no valid answer.
        """
        body = self._get(f'{url}/load')
        return LoadReport(
            target=target,
            identity=str(body.get('identity', '')),
            version=str(body.get('version', '')),
            ready=bool(body.get('ready', False)),
            running=int(body.get('running', 0)),
            capacity=int(body.get('capacity', 0)),
            taken_at=asked_at,
        )

    def cache_events(self, target: str, url: str, after: int) -> CacheEvents:
        """Return the prefix-cache events after a sequence number."""
        body = self._get(f'{url}/cache/events?after={after}')
        return CacheEvents(
            target=target,
            first=int(body.get('first', 0)),
            last=int(body.get('last', 0)),
            stored=tuple(body.get('stored', ())),
            evicted=tuple(body.get('evicted', ())),
        )

    def record(self, url: str, request_id: str) -> RequestRecord:
        """Return the target's record of a request."""
        body = self._get(f'{url}/v1/requests/{request_id}')
        tokens = body.get('tokens')
        return RequestRecord(
            request_id,
            str(body.get('state', 'unknown')),
            None if tokens is None else int(tokens),
            float(body.get('memory_s', 0)),
        )

    def order(self, url: str, order: dict[str, Any]) -> bool:
        """
        Return whether a target took an order.

        It refuses one with an old fencing number, if it checks that.

        :raises TargetFailedError: if it gives no answer.
        """
        try:
            answer = self._pool.request('POST', f'{url}/orders', json=order)
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            raise TargetFailedError(f'order to {url!r}: {error}') from None
        if answer.status >= _HTTP_SERVER_ERROR:
            raise TargetFailedError(f'order to {url!r}: {answer.status}')
        return answer.status != _HTTP_CONFLICT

    def order_state(self, url: str) -> dict[str, Any]:
        """Return the last order that the target carried out."""
        return self._get(f'{url}/orders')

    def _get(self, url: str) -> dict[str, Any]:
        """Return a JSON object."""
        return self._ask('GET', url, None)

    def _ask(
        self,
        method: str,
        url: str,
        body: dict[str, Any] | None,
    ) -> dict[str, Any]:
        """Return the JSON object that a call answers with."""
        try:
            answer = self._pool.request(method, url, json=body)
            value = json.loads(answer.data)
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            raise TargetFailedError(f'{method} {url!r}: {error}') from None
        if not isinstance(value, dict):
            raise TargetFailedError(f'{method} {url!r}: not an object')
        return value
