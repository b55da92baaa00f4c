"""HTTP pages that a gateway serves to the platform and to operators."""

import json
from collections.abc import Callable
from typing import Any

from fuchsiafork.availability import Availability, Status
from fuchsiafork.gateway.shared_state import SharedState
from fuchsiafork.platform import names
from fuchsiafork.transport.caller import CallerConnection, CallerRequest

METRICS_PATH = '/metrics'
STATUS_PATH = '/status'
# POST with the part as the body.
RELEASE_PATH = '/quarantine/release'

# Client accounts whose share of the work is shown.
MAX_SHOWN_ACCOUNTS = 8

_TEXT = 'text/plain; version=0.0.4; charset=utf-8'
_JSON = 'application/json'


class ReadinessPage:
    """Reports to the load balancer whether the gateway is ready."""

    def __init__(self, ready: Callable[[], bool]) -> None:
        """Report the result of a function."""
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
    """Metrics and status of the process."""

    def __init__(
        self,
        shared: SharedState,
        ages: Callable[[], dict[str, float]],
        in_flight: Callable[[], int],
    ) -> None:
        """
        Show the state that the requests of a process share.

        :param ages: returns seconds since data was confirmed, by kind of
            data.
        :param in_flight: returns the number of requests in flight.
        """
        self._shared = shared
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
            body = self._shared.metrics.render()
            caller.answer(200, [('content-type', _TEXT)], body)
        elif request.path == STATUS_PATH:
            body = json.dumps(self.status()).encode()
            caller.answer(200, [('content-type', _JSON)], body)
        elif (request.method, request.path) == ('POST', RELEASE_PATH):
            caller.answer(self._release(request.body), [], b'')
        else:
            caller.answer(404, [], b'')

    def _release(self, body: bytes) -> int:
        """Let targets get a part again; return the status of the answer."""
        part = body.decode('utf-8', 'replace')
        released = self._shared.quarantine.release(part)
        self._shared.log.warning(
            'release_ordered', part=json.dumps(part), known=released
        )
        return 200 if released else 404

    def status(self) -> dict[str, Any]:
        """Return the configuration, data ages and targets in use."""
        shared = self._shared
        configuration = shared.configuration
        now = shared.clock.now()
        return {
            'configuration': configuration.version if configuration else None,
            'ages_s': {
                name: round(age, 2) for name, age in self._ages().items()
            },
            'in_flight': self._in_flight(),
            'tokens': shared.prepaid_tokens.available(),
            'rollouts': shared.rollouts.status(),
            'quarantine': shared.quarantine.quarantined(),
            'waiting': shared.admission.waiting(),
            'account_shares': self._account_shares(),
            'targets': [
                {
                    'target': state.target.target_id,
                    'service': state.target.service,
                    'address': state.target.address,
                    'domain': state.target.domain,
                    'version': state.target.version,
                    'in_flight': state.in_flight,
                    'failing': round(state.failure_share, 3),
                    **_describe_status(shared.target_gate.status(state), now),
                }
                for state in shared.targets.states()
            ],
        }

    def _update(self) -> None:
        """Update the gauges."""
        metrics = self._shared.metrics
        configuration = self._shared.configuration
        metrics.configuration_version.set(
            configuration.version if configuration else 0
        )
        metrics.in_flight.set(self._in_flight())
        for name, age in self._ages().items():
            metrics.data_age.labels(name).set(age)
        for account, tokens in self._shared.prepaid_tokens.available().items():
            metrics.tokens_available.labels(account).set(tokens)
        counts: dict[str, int] = {}
        for state in self._shared.targets.states():
            service = state.target.service
            counts[service] = counts.get(service, 0) + 1
        for service, count in counts.items():
            metrics.targets.labels(service).set(count)
        metrics.account_share.clear()
        for account, share in self._account_shares().items():
            metrics.account_share.labels(account).set(share)
        self._update_unavailable()

    def _account_shares(self) -> dict[str, float]:
        """Return the shares of the work that the fleet is asked for."""
        use = self._shared.account_use
        shares = use.largest_shares(MAX_SHOWN_ACCOUNTS)
        return {name: round(share, 4) for name, share in shares.items()}

    def _update_unavailable(self) -> None:
        """Update the number of targets that get no requests."""
        gauge = self._shared.metrics.unavailable_targets
        gauge.clear()
        for state in self._shared.targets.states():
            status = self._shared.target_gate.status(state)
            if not status.accepting:
                gauge.labels(
                    state.target.service,
                    status.availability.value,
                    status.source.value,
                ).inc()


def _describe_status(status: Status, now: float) -> dict[str, Any]:
    """Return the fields of a target's state on the status page."""
    accepting = status.accepting
    paused = status.availability is Availability.PAUSED
    return {
        'availability': status.availability.value,
        'source': None if accepting else status.source.value,
        'for_s': None if accepting else round(now - status.since, 2),
        'left_s': round(status.until - now, 2) if paused else None,
    }
