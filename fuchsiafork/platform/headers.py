"""Parses and builds the headers of requests and responses."""

import dataclasses
import math
import re
from collections.abc import Iterable, Sequence

from fuchsiafork.platform import names

# Largest number of tokens that a request may name.
MAX_TOKENS = 1_000_000_000
# Prompt parts whose sizes are read; thousands fit into a legal head.
MAX_SIZED_PARTS = 32
# Longest pause of a target; longer ones are kept for this long.
MAX_PAUSE_S = 1e9

_OK = 200
_UNAVAILABLE = 503
_MS_PER_S = 1000
_EMPTY = ''
_DECIMAL = re.compile(r'[0-9]{1,12}(\.[0-9]{0,12})?')
# Of any length, as a pause may be longer than the target's life.
_SECONDS = re.compile(r'[0-9]+(\.[0-9]*)?')
# Headers that apply to a single connection, and headers that are set again for
# the next one.
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
    Metadata from the headers of a request.

    :ivar request_id: id of this client attempt.
    :ivar time_left_s: time until the caller's deadline, None if not given.
    :ivar key: bearer key, empty if there is none.
    :ivar prompt_tokens: number of prompt tokens, 0 if not given.
    :ivar output_tokens: maximum number of output tokens.
    :ivar prompt_parts: ids of the prompt's parts, in order.
    :ivar part_tokens: numbers of tokens of the first ``MAX_SIZED_PARTS`` parts,
        0 for those without a valid one.
    :ivar hinted_tokens: the caller's estimate of the output tokens, None if
        there is no valid one.
    """

    request_id: str
    time_left_s: float | None
    key: str
    prompt_tokens: int
    output_tokens: int
    prompt_parts: tuple[str, ...]
    part_tokens: tuple[int, ...] = ()
    hinted_tokens: float | None = None

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Parts that other requests may share; the last one is its own."""
        return tuple(dict.fromkeys(self.prompt_parts[:-1]))


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """
    Metadata from the headers of a response.

    :ivar request_id: id of the answered request, empty if missing.
    :ivar not_run: whether the target states that it did not run the request.
    :ivar has_mac: whether the target's MAC is present.
    :ivar encoded: whether an intermediary encoded the body.
    :ivar keep_alive: value of the ``keep-alive`` header.
    :ivar leaving: whether the target announces that it is leaving.
    :ivar pause_s: seconds for which this VM must send nothing more to the
        target, None if it requests no pause.
    :ivar invalid_pause: a time that is no number of seconds, empty otherwise.
    :ivar rate_limit: requests a second that the target accepts from all VMs
        together, None if it names no limit.
    :ivar invalid_rate_limit: a limit that is no number, empty otherwise.
    """

    request_id: str
    not_run: bool
    has_mac: bool
    encoded: bool
    keep_alive: str
    leaving: bool = False
    pause_s: float | None = None
    invalid_pause: str = _EMPTY
    rate_limit: float | None = None
    invalid_rate_limit: str = _EMPTY


def parse_request_headers(headers: HeaderPairs) -> RequestMetadata:
    """
    Parse the headers of a request.

    :raises ValueError: if a numeric header is not a number.
    """
    values = dict(headers)
    prompt, _, output = values.get(names.TOKEN_COUNT, _EMPTY).partition(',')
    time_left_ms = values.get(names.TIME_LEFT_MS)
    parts = [
        part.strip().partition(':')
        for part in values.get(names.PROMPT_PARTS, _EMPTY).split(',')
        if part
    ]
    return RequestMetadata(
        request_id=values.get(names.REQUEST_ID, _EMPTY),
        time_left_s=_seconds(time_left_ms) if time_left_ms else None,
        key=_bearer_key(values.get(names.AUTHORIZATION, _EMPTY)),
        prompt_tokens=_token_count(prompt),
        output_tokens=_token_count(output),
        prompt_parts=tuple(part_id for part_id, _, _ in parts),
        part_tokens=tuple(
            int(_valid_tokens(size)) for _, _, size in parts[:MAX_SIZED_PARTS]
        ),
        hinted_tokens=_valid_tokens(values.get(names.LENGTH_HINT, _EMPTY))
        or None,
    )


def target_headers(
    headers: HeaderPairs,
    account: str,
    target_id: str,
    time_left_s: float,
    last_event_id: str = _EMPTY,
    urgency: int | None = None,
) -> list[tuple[str, str]]:
    """Return the headers of a request that is forwarded to a target."""
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


def parse_response_headers(
    headers: HeaderPairs, status: int = _OK
) -> ResponseMetadata:
    """
    Parse the headers of a response.

    :param status: its status; only 503 can request a pause.
    """
    values = dict(headers)
    encoding = values.get('content-encoding', 'identity')
    limit = values.get(names.RATE_LIMIT, _EMPTY).strip()
    pause = _EMPTY
    if status == _UNAVAILABLE:
        pause = values.get(names.RETRY_AFTER, _EMPTY).strip()
    limit_valid = _DECIMAL.fullmatch(limit) is not None
    pause_valid = _SECONDS.fullmatch(pause) is not None
    return ResponseMetadata(
        request_id=values.get(names.REQUEST_ID, _EMPTY),
        not_run=names.NOT_RUN in values,
        has_mac=names.ANSWER_MAC in values,
        encoded=encoding != 'identity',
        keep_alive=values.get('keep-alive', _EMPTY),
        leaving=values.get(names.TARGET_LEAVING, _EMPTY).strip()
        == names.LEAVING,
        pause_s=min(float(pause), MAX_PAUSE_S) if pause_valid else None,
        invalid_pause=_EMPTY if pause_valid else pause,
        rate_limit=float(limit) if limit_valid else None,
        invalid_rate_limit=_EMPTY if limit_valid else limit,
    )


def caller_headers(headers: HeaderPairs) -> list[tuple[str, str]]:
    """
    Return the headers of a response that is forwarded to its caller.

    The announcement of a leaving target is dropped, since a caller would
    relate it to the VM.
    """
    dropped = _dropped_headers(headers) | {names.TARGET_LEAVING}
    return [pair for pair in headers if pair[0] not in dropped]


def refusal_headers(
    request_id: str,
    retry_after_s: float | None,
) -> list[tuple[str, str]]:
    """Return the headers of an error response generated by the gateway."""
    headers = [('content-type', 'application/json')]
    if request_id:
        headers.append((names.REQUEST_ID, request_id))
    if retry_after_s is not None:
        headers.append((names.RETRY_AFTER, f'{retry_after_s:.3f}'))
    return headers


def decode_headers(
    pairs: Iterable[tuple[bytes, bytes]],
) -> list[tuple[str, str]]:
    """Decode header names, in lower case, and values to text."""
    return [
        (name.decode('latin-1').lower(), text.decode('latin-1'))
        for name, text in pairs
    ]


def _dropped_headers(headers: HeaderPairs) -> frozenset[str]:
    """Return the headers not to forward, with those named by the sender."""
    named = dict(headers).get('connection', _EMPTY)
    named_headers = {name.strip().lower() for name in named.split(',')}
    return _HOP_HEADERS | named_headers


def _bearer_key(authorization: str) -> str:
    """Return the key of an authorization header, empty if not a bearer key."""
    scheme, _, key = authorization.partition(' ')
    return key.strip() if scheme.lower() == 'bearer' else _EMPTY


def _token_count(text: str) -> int:
    """
    Parse a number of tokens, 0 if it is missing.

    :raises ValueError: if it is no number up to ``MAX_TOKENS``.
    """
    tokens = max(0, int(text)) if text.strip() else 0
    if tokens > MAX_TOKENS:
        raise ValueError(f'more than {MAX_TOKENS} tokens')
    return tokens


def _valid_tokens(text: str) -> float:
    """
    Return a number of tokens that a caller estimates, 0 if it is invalid.

    No request is refused for it, since it decides on the target only.
    """
    text = text.strip()
    tokens = float(text) if _DECIMAL.fullmatch(text) else 0.0
    return tokens if tokens <= MAX_TOKENS else 0.0


def _seconds(text: str) -> float:
    """
    Parse milliseconds.

    :raises ValueError: if they are no finite number.
    """
    seconds = float(text) / _MS_PER_S
    if not math.isfinite(seconds):
        raise ValueError(f'no time: {text!r}')
    return seconds
