"""Fields of the log line of one request."""

import dataclasses
from typing import Any


@dataclasses.dataclass(slots=True)
class RequestRecord:
    """
    Inputs and outcome of the decisions on one request.

    :ivar configuration_version: version of the configuration applied, -1 if
        there was none.
    :ivar reserved: tokens reserved.
    :ivar cost: tokens consumed.
    :ivar waited_s: time spent waiting for prepaid tokens.
    :ivar queued_s: time spent waiting for a place at the engines.
    :ivar configuration_age_s: time since no newer configuration was known
        to exist.
    :ivar targets_age_s: the same for the entries of targets.
    :ivar attempts: target id and outcome of each attempt.
    """

    request_id: str
    path: str
    configuration_version: int = -1
    route: str = ''
    account: str = ''
    service: str = ''
    reserved: int = 0
    cost: int = 0
    waited_s: float = 0.0
    queued_s: float = 0.0
    configuration_age_s: float = 0.0
    targets_age_s: float = 0.0
    attempts: list[str] = dataclasses.field(default_factory=list)

    def add_attempt(self, target_id: str, outcome: str) -> None:
        """Add the target and the outcome of an attempt."""
        self.attempts.append(f'{target_id}:{outcome}')

    def fields(self) -> dict[str, Any]:
        """Return the fields of the request's log line."""
        return {
            'request_id': self.request_id,
            'path': self.path,
            'configuration': self.configuration_version,
            'configuration_age_s': round(self.configuration_age_s, 1),
            'route': self.route,
            'account': self.account,
            'service': self.service,
            'reserved': self.reserved,
            'cost': self.cost,
            'waited_s': round(self.waited_s, 3),
            'queued_s': round(self.queued_s, 3),
            'targets_age_s': round(self.targets_age_s, 1),
            'attempts': ','.join(self.attempts),
        }
