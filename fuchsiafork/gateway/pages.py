"""Pages that a gateway serves to the platform and to operators."""

import json
from collections.abc import Callable
from typing import Any

from fuchsiafork.gateway.services import Services
from fuchsiafork.platform import names
from fuchsiafork.transport.caller import CallerConnection, CallerRequest

METRICS_PATH = '/metrics'
STATUS_PATH = '/status'

_TEXT = 'text/plain; version=0.0.4; charset=utf-8'
_JSON = 'application/json'


class ReadinessPage:
    """Tells the load balancer whether callers may come."""

    def __init__(self, ready: Callable[[], bool]) -> None:
        """Answer by a function."""
        self._ready = ready

    async def serve(
        self,
        request: CallerRequest,
        caller: CallerConnection,
    ) -> None:
        """Answer the load balancer."""
        if request.path != names.READY_PATH:
            caller.answer(404, [], b'')
        elif self._ready():
            caller.answer(200, [], b'')
        else:
            caller.answer(503, [], b'')


class OperatorPages:
    """Metrics, and what the process has in force."""

    def __init__(
        self,
        services: Services,
        ages: Callable[[], dict[str, float]],
        in_flight: Callable[[], int],
    ) -> None:
        """
        Show what the exchanges of a process share.

        :param ages: seconds since contact, by what it was about.
        """
        self._services = services
        self._ages = ages
        self._in_flight = in_flight

    async def serve(
        self,
        request: CallerRequest,
        caller: CallerConnection,
    ) -> None:
        """Answer an operator."""
        if request.path == METRICS_PATH:
            self._update()
            body = self._services.metrics.render()
            caller.answer(200, [('content-type', _TEXT)], body)
        elif request.path == STATUS_PATH:
            body = json.dumps(self.status()).encode()
            caller.answer(200, [('content-type', _JSON)], body)
        else:
            caller.answer(404, [], b'')

    def status(self) -> dict[str, Any]:
        """Return what is in force, with its age in seconds."""
        services = self._services
        catalog = services.catalog
        now = services.clock.now()
        return {
            'configuration': catalog.version if catalog else None,
            'ages_s': {
                name: round(age, 2) for name, age in self._ages().items()
            },
            'in_flight': self._in_flight(),
            'tokens': services.prepaid_tokens.available(),
            'rollouts': services.rollouts.states(),
            'targets': [
                {
                    'target': row.target.target_id,
                    'service': row.target.service,
                    'address': row.target.address,
                    'domain': row.target.domain,
                    'version': row.target.version,
                    'leaving': row.target.leaving,
                    'in_flight': row.in_flight,
                    'failing': round(row.failing, 3),
                    'avoided_s': round(max(0.0, row.avoid_until - now), 2),
                }
                for row in services.targets.rows()
            ],
        }

    def _update(self) -> None:
        """Bring the gauges up to date."""
        metrics = self._services.metrics
        catalog = self._services.catalog
        metrics.version.set(catalog.version if catalog else 0)
        metrics.in_flight.set(self._in_flight())
        for name, age in self._ages().items():
            metrics.ages.labels(name).set(age)
        for name, tokens in self._services.prepaid_tokens.available().items():
            metrics.tokens.labels(name).set(tokens)
        counts: dict[str, int] = {}
        for row in self._services.targets.rows():
            service = row.target.service
            counts[service] = counts.get(service, 0) + 1
        for service, count in counts.items():
            metrics.targets.labels(service).set(count)
