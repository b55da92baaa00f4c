"""Turns callers' HTTP requests into requests of the machine."""

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
_PASSED_HEADERS = ('accept', 'content-type', 'idempotency-key')
# Tokens that a chat template adds around the messages of a prompt.
_TEMPLATE_TOKENS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Incoming:
    """
    An HTTP request as it was read from a caller.

    :ivar headers: names in lower case.
    """

    request_id: str
    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class _Place:
    """Where a request goes: route and account, by name and section."""

    account_name: str
    account: Account
    route_name: str
    route: Route


def parse_request(
    incoming: Incoming,
    directory: Directory,
    clock: Clock,
) -> Request:
    """
    Return the request to serve.

    :raises FuchsiaforkError: if it is malformed or not allowed.
    """
    name, account = directory.authenticate(
        incoming.headers.get('authorization', ''),
    )
    if incoming.path == CHAT_PATH and incoming.method == 'POST':
        return _parse_chat(incoming, directory, (name, account), clock)
    if incoming.path.startswith(SERVICE_PREFIX):
        return _parse_call(incoming, directory, (name, account), clock)
    raise RouteNotFoundError(f'{incoming.method} {incoming.path!r}')


def _parse_chat(
    incoming: Incoming,
    directory: Directory,
    who: tuple[str, Account],
    clock: Clock,
) -> Request:
    """Return a chat completion's request."""
    body = _read_object(incoming.body)
    name = str(body.get('model', ''))
    route = directory.route(name, who[1])
    text = prompt_text(_read_messages(body))
    limit = min(_read_limit(body, route), route.max_output_tokens)
    if body.get('stream'):
        body['stream_options'] = {'include_usage': True}
    return _build(
        incoming,
        _Place(*who, name, route),
        directory,
        clock,
        path=CHAT_PATH,
        body=json.dumps(body).encode(),
        engine=True,
        idempotent=True,
        prompt_tokens=_prompt_bound(incoming.body, route),
        output_limit=limit,
        flat_tokens=0,
        prefixes=prefix_hashes(text),
    )


def _parse_call(
    incoming: Incoming,
    directory: Directory,
    who: tuple[str, Account],
    clock: Clock,
) -> Request:
    """Return a service call's request."""
    name, _, rest = incoming.path.removeprefix(SERVICE_PREFIX).partition('/')
    route = directory.route(name, who[1])
    query = f'?{incoming.query}' if incoming.query else ''
    return _build(
        incoming,
        _Place(*who, name, route),
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


def _build(
    incoming: Incoming,
    place: _Place,
    directory: Directory,
    clock: Clock,
    *,
    prefixes: tuple[int, ...],
    **fields: Any,
) -> Request:
    """Return the request with what all kinds have in common."""
    return Request(
        request_id=incoming.request_id,
        account=place.account_name,
        budget=place.account.budget,
        route=place.route_name,
        groups=(
            request_group(
                directory.document,
                directory.domain,
                place.route_name,
                prefixes,
                incoming.request_id,
            ),
        ),
        prefixes=prefixes,
        priority=place.account.priority,
        method=incoming.method,
        headers=_passed_headers(incoming),
        key=_key_digest(incoming, place.account_name),
        fingerprint=_fingerprint(incoming),
        deadline=clock.now() + _time_allowed(incoming, place.route, clock),
        **fields,
    )


def _time_allowed(incoming: Incoming, route: Route, clock: Clock) -> float:
    """Return the seconds that the request may take."""
    given = incoming.headers.get('x-request-deadline')
    if given is None:
        return route.timeout_s
    try:
        remaining = float(given) - clock.wall()
    except ValueError:
        raise BadRequestError(f'X-Request-Deadline {given!r}') from None
    if not math.isfinite(remaining):
        raise BadRequestError(f'X-Request-Deadline {given!r}')
    return min(remaining, route.timeout_s)


def _passed_headers(incoming: Incoming) -> dict[str, str]:
    """Return the headers that the target may see."""
    return {
        name: incoming.headers[name]
        for name in _PASSED_HEADERS
        if name in incoming.headers
    }


def _key_digest(incoming: Incoming, account: str) -> str:
    """Return the digest of account and Idempotency-Key, or nothing."""
    key = incoming.headers.get('idempotency-key', '')
    if len(key) > _MAX_KEY_CHARACTERS:
        raise BadRequestError('Idempotency-Key is too long')
    return _digest(account.encode(), key.encode()) if key else ''


def _fingerprint(incoming: Incoming) -> str:
    """Return the digest of what must be equal when a key is used again."""
    return _digest(
        incoming.method.encode(),
        incoming.path.encode(),
        incoming.query.encode(),
        incoming.body,
    )


def _digest(*parts: bytes) -> str:
    """Return a digest of parts, 128 bits."""
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.hexdigest()


def _read_object(body: bytes) -> dict[str, Any]:
    """Return the body's JSON object."""
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


def _read_messages(body: dict[str, Any]) -> list[Any]:
    """Return the chat's messages."""
    given = body.get('messages')
    if not isinstance(given, list) or not given:
        raise BadRequestError('messages must be a list that is not empty')
    return given


def _read_limit(body: dict[str, Any], route: Route) -> int:
    """Return the output limit that the caller asks for."""
    given = body.pop('max_completion_tokens', body.get('max_tokens'))
    if given is None:
        return route.max_output_tokens
    if not isinstance(given, int) or isinstance(given, bool) or given < 1:
        raise BadRequestError(
            f'max_tokens must be a positive integer: {given!r}'
        )
    return given


def _prompt_bound(body: bytes, route: Route) -> int:
    """
    Return the most tokens that the prompt can have.

    The whole body counts, since tools and formats become prompt tokens too.
    """
    tokens = math.ceil(len(body) / route.prompt_bytes_per_token)
    return tokens + _TEMPLATE_TOKENS
