"""Parses callers' HTTP requests into requests of the state machine."""

import dataclasses
import hashlib
import json
import math
from typing import Any

from fuchsiafork.adapters.prefixes import prefix_hashes, prompt_text
from fuchsiafork.configuration import Account, Route
from fuchsiafork.dispatch import request_group
from fuchsiafork.kernel import Clock
from fuchsiafork.kernel.errors import BadRequestError, RouteNotFoundError
from fuchsiafork.router.commands import Request
from fuchsiafork.router.directory import Directory

CHAT_PATH = '/v1/chat/completions'
SERVICE_PREFIX = '/v1/services/'

_MAX_KEY_CHARACTERS = 255
_FORWARDED_HEADERS = ('accept', 'content-type', 'idempotency-key')
# Tokens that a chat template adds around the messages of a prompt.
_TEMPLATE_TOKENS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class IncomingRequest:
    """
    An HTTP request as read from a caller.

    :ivar headers: headers by name in lower case.
    """

    request_id: str
    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class _Routing:
    """Account and route of a request, with their names."""

    account_name: str
    account: Account
    route_name: str
    route: Route


def parse_request(
    incoming: IncomingRequest,
    directory: Directory,
    clock: Clock,
) -> Request:
    """
    Parse and authorize a request.

    :raises FuchsiaforkError: if it is malformed or not permitted.
    """
    name, account = directory.authenticate(
        incoming.headers.get('authorization', ''),
    )
    if incoming.path == CHAT_PATH and incoming.method == 'POST':
        return _parse_chat(incoming, directory, (name, account), clock)
    if incoming.path.startswith(SERVICE_PREFIX):
        return _parse_service_call(incoming, directory, (name, account), clock)
    raise RouteNotFoundError(f'{incoming.method} {incoming.path!r}')


def _parse_chat(
    incoming: IncomingRequest,
    directory: Directory,
    caller: tuple[str, Account],
    clock: Clock,
) -> Request:
    """Return the request of a chat completion."""
    body = _parse_json_object(incoming.body)
    name = str(body.get('model', ''))
    route = directory.route(name, caller[1])
    text = prompt_text(_parse_messages(body))
    limit = min(_parse_output_limit(body, route), route.max_output_tokens)
    if body.get('stream'):
        body['stream_options'] = {'include_usage': True}
    return _make_request(
        incoming,
        _Routing(*caller, name, route),
        directory,
        clock,
        path=CHAT_PATH,
        body=json.dumps(body).encode(),
        engine=True,
        idempotent=True,
        prompt_tokens=_max_prompt_tokens(incoming.body, route),
        output_limit=limit,
        flat_tokens=0,
        prefixes=prefix_hashes(text),
    )


def _parse_service_call(
    incoming: IncomingRequest,
    directory: Directory,
    caller: tuple[str, Account],
    clock: Clock,
) -> Request:
    """Return the request of a service call."""
    name, _, rest = incoming.path.removeprefix(SERVICE_PREFIX).partition('/')
    route = directory.route(name, caller[1])
    query = f'?{incoming.query}' if incoming.query else ''
    return _make_request(
        incoming,
        _Routing(*caller, name, route),
        directory,
        clock,
        path=f'/{rest}{query}',
        body=incoming.body,
        engine=False,
        idempotent=incoming.method in route.idempotent_methods,
        prompt_tokens=0,
        output_limit=0,
        flat_tokens=route.tokens_per_call,
        prefixes=(),
    )


def _make_request(
    incoming: IncomingRequest,
    routing: _Routing,
    directory: Directory,
    clock: Clock,
    *,
    prefixes: tuple[int, ...],
    **fields: Any,
) -> Request:
    """Return a request with the fields common to all kinds of routes."""
    return Request(
        request_id=incoming.request_id,
        account=routing.account_name,
        budget=routing.account.budget,
        route=routing.route_name,
        groups=(
            request_group(
                directory.document,
                directory.domain,
                routing.route_name,
                prefixes,
                incoming.request_id,
            ),
        ),
        prefixes=prefixes,
        priority=routing.account.priority,
        method=incoming.method,
        headers=_forwarded_headers(incoming),
        key=_key_digest(incoming, routing.account_name),
        fingerprint=_fingerprint(incoming),
        deadline=clock.now() + _timeout_s(incoming, routing.route, clock),
        **fields,
    )


def _timeout_s(incoming: IncomingRequest, route: Route, clock: Clock) -> float:
    """Return the timeout of the request in seconds."""
    value = incoming.headers.get('x-request-deadline')
    if value is None:
        return route.timeout_s
    try:
        remaining = float(value) - clock.wall()
    except ValueError:
        raise BadRequestError(
            f'X-Request-Deadline is not a number: {value!r}'
        ) from None
    if not math.isfinite(remaining):
        raise BadRequestError(f'X-Request-Deadline is not finite: {value!r}')
    return min(remaining, route.timeout_s)


def _forwarded_headers(incoming: IncomingRequest) -> dict[str, str]:
    """Return the headers that are forwarded to the target."""
    return {
        name: incoming.headers[name]
        for name in _FORWARDED_HEADERS
        if name in incoming.headers
    }


def _key_digest(incoming: IncomingRequest, account: str) -> str:
    """Return the digest of account and Idempotency-Key, empty without one."""
    key = incoming.headers.get('idempotency-key', '')
    if len(key) > _MAX_KEY_CHARACTERS:
        raise BadRequestError('Idempotency-Key is too long')
    return _digest(account.encode(), key.encode()) if key else ''


def _fingerprint(incoming: IncomingRequest) -> str:
    """Return the digest of the parts that must be equal if a key is reused."""
    return _digest(
        incoming.method.encode(),
        incoming.path.encode(),
        incoming.query.encode(),
        incoming.body,
    )


def _digest(*parts: bytes) -> str:
    """Return a 128-bit digest of the parts."""
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()


def _parse_json_object(body: bytes) -> dict[str, Any]:
    """Parse the body as a JSON object."""
    try:
        value = json.loads(body)
    except ValueError:
        raise BadRequestError('the body is not JSON') from None
    if not isinstance(value, dict):
        raise BadRequestError('the body is not a JSON object')
    # The reservation covers one answer.
    if value.get('n', 1) != 1:
        raise BadRequestError(f'n must be 1, not {value["n"]!r}')
    return value


def _parse_messages(body: dict[str, Any]) -> list[Any]:
    """Return the chat's messages."""
    value = body.get('messages')
    if not isinstance(value, list) or not value:
        raise BadRequestError('messages must be a non-empty list')
    return value


def _parse_output_limit(body: dict[str, Any], route: Route) -> int:
    """Return the requested output limit, by default that of the route."""
    value = body.pop('max_completion_tokens', body.get('max_tokens'))
    if value is None:
        return route.max_output_tokens
    if not isinstance(value, int) or isinstance(value, bool) or value < 1:
        raise BadRequestError(
            f'max_tokens must be a positive integer: {value!r}'
        )
    return value


def _max_prompt_tokens(body: bytes, route: Route) -> int:
    """
    Return an upper bound of the tokens of the prompt.

    The whole body counts, since tools and formats become prompt tokens too.
    """
    tokens = math.ceil(len(body) / route.prompt_bytes_per_token)
    return tokens + _TEMPLATE_TOKENS
