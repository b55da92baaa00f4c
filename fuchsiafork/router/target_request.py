"""Builds the body and headers of the request to a target."""

import json

from fuchsiafork.kernel.errors import BadRequestError
from fuchsiafork.router.commands import Request, SharedState

REQUEST_ID_HEADER = 'X-Request-Id'
_DEADLINE_HEADER = 'X-Request-Deadline'


def target_body(request: Request) -> bytes:
    """
    Return the body with the reserved output limit.

    :raises BadRequestError: if an engine's body is not a JSON object.
    """
    if not request.engine:
        return request.body
    try:
        document = json.loads(request.body)
    except ValueError:
        raise BadRequestError('the body is not JSON') from None
    if not isinstance(document, dict):
        raise BadRequestError('the body is not a JSON object')
    document['max_tokens'] = request.output_limit
    return json.dumps(document).encode()


def target_headers(
    request: Request,
    shared: SharedState,
    reservation_id: str,
) -> dict[str, str]:
    """Return the headers for the target, with request id and deadline."""
    remaining = request.deadline - shared.clock.now()
    return request.headers | {
        REQUEST_ID_HEADER: reservation_id,
        _DEADLINE_HEADER: f'{shared.clock.wall() + remaining:.3f}',
    }
