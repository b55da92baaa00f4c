"""
HTTP client of the management interface of targets.

Targets are model engines and plain services. This module reads their load,
cache events and request records, and sends them orders. Client requests are
sent by :mod:`fuchsiafork.adapters.target_call`.
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
    A target's record of a request.

    :ivar state: ``unknown``, ``running``, ``done`` or ``cancelled``.
    :ivar tokens: tokens counted for the request, None from a plain service,
        which counts calls only.
    :ivar memory_s: seconds since the target's start; it keeps no records
        from before. 0 if not reported.
    """

    request_id: str
    state: str
    tokens: int | None
    memory_s: float


class EngineClient:
    """Reads the state of targets and sends them orders."""

    def __init__(self, pool: urllib3.PoolManager | None = None) -> None:
        """Use a connection pool, by default one of its own."""
        self._pool = pool or urllib3.PoolManager(
            timeout=TIMEOUT_S,
            retries=False,
        )

    def fetch_load(
        self, target: str, url: str, requested_at: float
    ) -> LoadReport:
        """
        Return the target's load report.

        :param requested_at: time of this call on the owner's clock, in
            seconds.
        :raises TargetFailedError: if the target sends no valid response.
        """
        body = self._get(f'{url}/load')
        return LoadReport(
            target=target,
            identity=str(body.get('identity', '')),
            version=str(body.get('version', '')),
            ready=bool(body.get('ready', False)),
            running=int(body.get('running', 0)),
            capacity=int(body.get('capacity', 0)),
            taken_at=requested_at,
        )

    def fetch_cache_events(
        self, target: str, url: str, after: int
    ) -> CacheEvents:
        """Return the prefix-cache events after a sequence number."""
        body = self._get(f'{url}/cache/events?after={after}')
        return CacheEvents(
            target=target,
            first=int(body.get('first', 0)),
            last=int(body.get('last', 0)),
            stored=tuple(body.get('stored', ())),
            evicted=tuple(body.get('evicted', ())),
        )

    def fetch_record(self, url: str, request_id: str) -> RequestRecord:
        """Return the target's record of a request."""
        body = self._get(f'{url}/v1/requests/{request_id}')
        tokens = body.get('tokens')
        return RequestRecord(
            request_id,
            str(body.get('state', 'unknown')),
            None if tokens is None else int(tokens),
            float(body.get('memory_s', 0)),
        )

    def send_order(self, url: str, order: dict[str, Any]) -> bool:
        """
        Send an order to a target and return whether it was accepted.

        A target that checks fencing tokens rejects an order with an old one.

        :raises TargetFailedError: if the target does not respond.
        """
        try:
            response = self._pool.request('POST', f'{url}/orders', json=order)
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            raise TargetFailedError(f'order to {url!r}: {error}') from None
        if response.status >= _HTTP_SERVER_ERROR:
            raise TargetFailedError(
                f'order to {url!r}: status {response.status}',
            )
        return response.status != _HTTP_CONFLICT

    def fetch_order_state(self, url: str) -> dict[str, Any]:
        """Return the last order that the target has completed."""
        return self._get(f'{url}/orders')

    def _get(self, url: str) -> dict[str, Any]:
        """Return the JSON object at a URL."""
        return self._request('GET', url, None)

    def _request(
        self,
        method: str,
        url: str,
        body: dict[str, Any] | None,
    ) -> dict[str, Any]:
        """Send a request and return the JSON object in the response."""
        try:
            response = self._pool.request(method, url, json=body)
            value = json.loads(response.data)
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            raise TargetFailedError(f'{method} {url!r}: {error}') from None
        if not isinstance(value, dict):
            raise TargetFailedError(
                f'{method} {url!r}: response is not a JSON object'
            )
        return value
