"""What is logged of one request."""

import dataclasses
from typing import Any


@dataclasses.dataclass(slots=True)
class RequestRecord:
    """
    Inputs and outcome of the decisions on one request.

    :ivar version: of the configuration that it was served by.
    :ivar targets_age_s: age of what was known of the targets.
    :ivar waited_s: time that it waited for prepaid tokens.
    :ivar attempts: targets that it was sent to, each with the outcome.
    """

    request_id: str
    path: str
    version: int = -1
    route: str = ''
    account: str = ''
    service: str = ''
    reserved: int = 0
    cost: int = 0
    waited_s: float = 0.0
    targets_age_s: float = 0.0
    attempts: list[str] = dataclasses.field(default_factory=list)

    def note_attempt(self, target_id: str, outcome: str) -> None:
        """Add a target and what came of the request there."""
        self.attempts.append(f'{target_id}:{outcome}')

    def fields(self) -> dict[str, Any]:
        """Return the fields of the request's log line."""
        return {
            'request_id': self.request_id,
            'path': self.path,
            'configuration': self.version,
            'route': self.route,
            'account': self.account,
            'service': self.service,
            'reserved': self.reserved,
            'cost': self.cost,
            'waited_s': round(self.waited_s, 3),
            'targets_age_s': round(self.targets_age_s, 1),
            'attempts': ','.join(self.attempts),
        }
