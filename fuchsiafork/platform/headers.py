"""Translates the headers of requests and answers."""

import dataclasses
from collections.abc import Iterable, Sequence

from fuchsiafork.platform import names

_MS_PER_S = 1000
_EMPTY = ''
# Headers that concern one connection only, and those that are set anew.
_HOP_HEADERS = frozenset((
    'connection',
    'content-length',
    'expect',
    'keep-alive',
    'proxy-authenticate',
    'proxy-authorization',
    'proxy-connection',
    'te',
    'trailer',
    'transfer-encoding',
    'upgrade',
))

HeaderPairs = Sequence[tuple[str, str]]


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """
    What a request's headers say.

    :ivar request_id: of this client attempt.
    :ivar time_left_s: for which the caller waits, None if it doesn't say.
    :ivar key: bearer key, empty if there is none.
    :ivar prompt_tokens: tokens of the prompt, 0 if it has none.
    :ivar output_tokens: most tokens of the answer.
    :ivar prompt_parts: ids of the prompt's parts, in order.
    """

    request_id: str
    time_left_s: float | None
    key: str
    prompt_tokens: int
    output_tokens: int
    prompt_parts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """
    What an answer's headers say.

    :ivar request_id: of the request that it answers, empty if it is missing.
    :ivar not_run: whether the target says that it has not run the request.
    :ivar authentic: whether it carries the target's MAC.
    :ivar encoded: whether something has changed the body's encoding.
    :ivar keep_alive: the header of that name.
    """

    request_id: str
    not_run: bool
    authentic: bool
    encoded: bool
    keep_alive: str


def parse_request_headers(headers: HeaderPairs) -> RequestMetadata:
    """
    Return what a request's headers say.

    :raises ValueError: if one that holds a number doesn't.
    """
    values = dict(headers)
    prompt, _, output = values.get(names.TOKEN_COUNT, _EMPTY).partition(',')
    time_left_ms = values.get(names.TIME_LEFT_MS)
    parts = values.get(names.PROMPT_PARTS, _EMPTY)
    return RequestMetadata(
        request_id=values.get(names.REQUEST_ID, _EMPTY),
        time_left_s=float(time_left_ms) / _MS_PER_S if time_left_ms else None,
        key=_bearer_key(values.get(names.AUTHORIZATION, _EMPTY)),
        prompt_tokens=_token_count(prompt),
        output_tokens=_token_count(output),
        prompt_parts=tuple(
            part.strip().partition(':')[0] for part in parts.split(',') if part
        ),
    )


def target_headers(
    headers: HeaderPairs,
    account: str,
    target_id: str,
    time_left_s: float,
    last_event_id: str = _EMPTY,
    urgency: int | None = None,
) -> list[tuple[str, str]]:
    """Return the headers with which a request goes to a target."""
    dropped = _dropped_headers(headers) | names.OWN_HEADERS
    if last_event_id:
        dropped |= {names.LAST_EVENT_ID}
    sent = [pair for pair in headers if pair[0] not in dropped]
    left_ms = str(int(time_left_s * _MS_PER_S))
    sent += [(names.TIME_LEFT_MS, left_ms), (names.EXPECTED_TARGET, target_id)]
    if urgency is not None:
        sent.append((names.URGENCY, str(urgency)))
    if account:
        sent.append((names.ACCOUNT, account))
    if last_event_id:
        sent.append((names.LAST_EVENT_ID, last_event_id))
    return sent


def parse_response_headers(headers: HeaderPairs) -> ResponseMetadata:
    """Return what an answer's headers say."""
    values = dict(headers)
    encoding = values.get('content-encoding', 'identity')
    return ResponseMetadata(
        request_id=values.get(names.REQUEST_ID, _EMPTY),
        not_run=names.NOT_RUN in values,
        authentic=names.ANSWER_MAC in values,
        encoded=encoding != 'identity',
        keep_alive=values.get('keep-alive', _EMPTY),
    )


def caller_headers(headers: HeaderPairs) -> list[tuple[str, str]]:
    """Return the headers with which an answer goes to its caller."""
    dropped = _dropped_headers(headers)
    return [pair for pair in headers if pair[0] not in dropped]


def refusal_headers(
    request_id: str,
    retry_after_s: float | None,
) -> list[tuple[str, str]]:
    """Return the headers of an answer that this system gives itself."""
    headers = [('content-type', 'application/json')]
    if request_id:
        headers.append((names.REQUEST_ID, request_id))
    if retry_after_s is not None:
        headers.append((names.RETRY_AFTER, f'{retry_after_s:.3f}'))
    return headers


def decode_headers(
    pairs: Iterable[tuple[bytes, bytes]],
) -> list[tuple[str, str]]:
    """Return headers as text."""
    return [
        (name.decode('latin-1').lower(), text.decode('latin-1'))
        for name, text in pairs
    ]


def _dropped_headers(headers: HeaderPairs) -> frozenset[str]:
    """Return the headers that end here, those the sender names included."""
    named = dict(headers).get('connection', _EMPTY)
    named_headers = {name.strip().lower() for name in named.split(',')}
    return _HOP_HEADERS | named_headers


def _bearer_key(authorization: str) -> str:
    """Return the key of a header, empty if it has another form."""
    scheme, _, key = authorization.partition(' ')
    return key.strip() if scheme.lower() == 'bearer' else _EMPTY


def _token_count(text: str) -> int:
    """Return a number of tokens, 0 if it is missing."""
    return max(0, int(text)) if text.strip() else 0
