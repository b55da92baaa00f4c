"""Asks for the place of one request at the engines."""

import dataclasses

from fuchsiafork.admission import WaitingRequest, wait_limit_s
from fuchsiafork.balancing import WorkCost
from fuchsiafork.gateway.configuration import Account, Route
from fuchsiafork.gateway.request_matching import match_request
from fuchsiafork.gateway.request_record import RequestRecord
from fuchsiafork.gateway.shared_state import SharedState
from fuchsiafork.gateway.waiting_requests import Applicant, Place
from fuchsiafork.platform.headers import RequestMetadata
from fuchsiafork.transport.caller import CallerRequest


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceRequest:
    """
    What decides on the place of a request.

    :ivar cost: its expected work.
    :ivar priority: 0 is the highest.
    :ivar deadline: time by which it must be answered, seconds.
    """

    request: CallerRequest
    route: Route
    account: Account | None
    metadata: RequestMetadata
    cost: WorkCost
    priority: int
    deadline: float

    @property
    def tokens(self) -> int:
        """Tokens that the request may cost."""
        return self.metadata.prompt_tokens + self.metadata.output_tokens


async def acquire_place(
    asked: PlaceRequest, record: RequestRecord, shared: SharedState
) -> Place:
    """
    Return a place at the engines, after a wait if all are taken.

    :param record: gets the time of the wait.
    :raises PoolOverloadedError: if the wait would be too long.
    :raises FuchsiaforkError: if the request may not be served any more.
    """
    started_at = shared.clock.now()
    applicant = Applicant(
        _describe(asked, record, shared),
        record.request_id,
        record.service,
        lambda: _require_admissible(asked, record, shared),
    )
    try:
        return await shared.admission.acquire(applicant)
    finally:
        record.queued_s = shared.clock.now() - started_at


def _describe(
    asked: PlaceRequest, record: RequestRecord, shared: SharedState
) -> WaitingRequest:
    """Return what the queue needs to know of a request."""
    now = shared.clock.now()
    speed = shared.learned_work.speeds.speed(record.service, '')
    limit_s = wait_limit_s(
        asked.route.latency_objective_s,
        asked.deadline - now,
        asked.cost.prompt_tokens * speed.prompt_token_s,
    )
    return WaitingRequest(
        record.account,
        asked.priority,
        asked.cost.units,
        len(asked.request.body),
        now + limit_s,
    )


def _require_admissible(
    asked: PlaceRequest, record: RequestRecord, shared: SharedState
) -> None:
    """
    Check that a request that waits may still be served.

    :raises RouteNotFoundError: if its route was removed.
    :raises UnauthorizedError: if its key was.
    :raises BudgetExhaustedError: if the budget was spent.
    """
    configuration = shared.configuration
    if (
        configuration is not None
        and configuration.version != record.configuration_version
    ):
        match_request(configuration, asked.request, asked.metadata)
        record.configuration_version = configuration.version
    account = asked.account
    if account is not None and account.prepaid is not None:
        shared.prepaid_tokens.require_budget(account.name, asked.tokens)


__all__ = (
    'PlaceRequest',
    'acquire_place',
)
