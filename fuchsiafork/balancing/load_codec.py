"""
The form in which VMs exchange the outstanding work of targets.

A target takes eight characters. For an engine they are five that stand for its
lifetime, and one each for requests, prompt tokens and output tokens; for a
plain service a dot, five for its lifetime, and one each for requests and
milliseconds. Each VM is told of all targets once or twice a second; with
lifetimes and numbers in clear that would be over five times the bytes.
"""

import bisect
import functools
import itertools
import string
from collections.abc import Iterable, Mapping
from typing import TypeAlias

from fuchsiafork.balancing.costs import TargetLoad
from fuchsiafork.kernel.hashing import stable_hash

_ALPHABET = f'{string.digits}{string.ascii_letters}-_'
_LEVEL_COUNT = len(_ALPHABET)
# Ratio of a level to the one below it: an amount is off by a tenth at most.
_LEVEL_RATIO = 1.2
# Requests that are told exactly.
_EXACT_REQUESTS = 40
_MIN_PROMPT_TOKENS = 50
_MIN_OUTPUT_TOKENS = 10
_MIN_MS = 10
_MS_PER_S = 1000
# Thirty bits: two of 600 targets have the same key in one fleet of 6,000, and
# then each seems to have the work of both.
_KEY_CHARS = 5
_RECORD_CHARS = 8
_PLAIN_MARK = '.'
_MAX_CACHED_KEYS = 8192

MAX_TARGETS = 4096
MAX_LOADS_CHARS = MAX_TARGETS * _RECORD_CHARS
LOADS_PATTERN = r'^([0-9a-zA-Z_-]{8}|\.[0-9a-zA-Z_-]{7})*$'

# Requests, prompt tokens that are not prefilled yet, output tokens that are not
# generated yet, and milliseconds of service if the target is no engine.
Amounts: TypeAlias = tuple[int, int, int, int]


def _make_levels(*lowest: int) -> tuple[int, ...]:
    """Return the amounts that one character stands for."""
    levels = list(lowest)
    while len(levels) < _LEVEL_COUNT:
        levels.append(round(levels[-1] * _LEVEL_RATIO))
    return tuple(levels)


def _make_bounds(levels: tuple[int, ...]) -> tuple[float, ...]:
    """Return the amounts from which on each next level is the nearer one."""
    return tuple(
        (lower + upper) / 2 for lower, upper in itertools.pairwise(levels)
    )


_REQUESTS = _make_levels(*range(_EXACT_REQUESTS + 1))
_PROMPT = _make_levels(0, _MIN_PROMPT_TOKENS)
_OUTPUT = _make_levels(0, _MIN_OUTPUT_TOKENS)
_SERVICE = _make_levels(0, _MIN_MS)
_REQUEST_BOUNDS = _make_bounds(_REQUESTS)
_PROMPT_BOUNDS = _make_bounds(_PROMPT)
_OUTPUT_BOUNDS = _make_bounds(_OUTPUT)
_SERVICE_BOUNDS = _make_bounds(_SERVICE)
_PLACES = {character: place for place, character in enumerate(_ALPHABET)}


@functools.lru_cache(_MAX_CACHED_KEYS)
def target_key(lifetime: str) -> str:
    """Return the characters that stand for a start of a target."""
    digest = stable_hash(lifetime)
    key = ''
    for _ in range(_KEY_CHARS):
        digest, place = divmod(digest, _LEVEL_COUNT)
        key += _ALPHABET[place]
    return key


def encode_record(key: str, amounts: Amounts) -> str:
    """Return the record of one target, empty if it has no work."""
    requests, prompt, output, service_ms = amounts
    if service_ms:
        return _encode_plain(key, requests, service_ms)
    first = bisect.bisect_left(_REQUEST_BOUNDS, requests)
    second = bisect.bisect_left(_PROMPT_BOUNDS, prompt)
    third = bisect.bisect_left(_OUTPUT_BOUNDS, output)
    if not (first or second or third):
        return ''
    return f'{key}{_ALPHABET[first]}{_ALPHABET[second]}{_ALPHABET[third]}'


def encode_loads(loads: Mapping[str, TargetLoad]) -> str:
    """
    Return the records of targets.

    :param loads: outstanding work by lifetime.
    """
    records = (
        encode_record(target_key(lifetime), _to_amounts(load))
        for lifetime, load in loads.items()
    )
    return ''.join(records)


def decode_loads(records: str) -> dict[str, Amounts]:
    """
    Return outstanding work by the key of the target.

    :raises ValueError: if the records are malformed.
    """
    if len(records) % _RECORD_CHARS:
        raise ValueError(f'a record is cut off: {len(records)} characters')
    parts = [
        records[start : start + _RECORD_CHARS]
        for start in range(0, len(records), _RECORD_CHARS)
    ]
    try:
        return dict(map(_decode_record, parts))
    except KeyError as error:
        raise ValueError(f'no level has the character {error}') from None


def match_lifetimes(
    loads: Mapping[str, Amounts], lifetimes: Iterable[str]
) -> dict[str, TargetLoad]:
    """Return the outstanding work of the given lifetimes."""
    amounts = (
        (lifetime, loads.get(target_key(lifetime))) for lifetime in lifetimes
    )
    return {
        lifetime: TargetLoad(*found[:3], found[3] / _MS_PER_S)
        for lifetime, found in amounts
        if found is not None
    }


def _encode_plain(key: str, requests: int, service_ms: int) -> str:
    """Return the record of a target that is no engine."""
    first = bisect.bisect_left(_REQUEST_BOUNDS, requests)
    second = bisect.bisect_left(_SERVICE_BOUNDS, service_ms)
    return f'{_PLAIN_MARK}{key}{_ALPHABET[first]}{_ALPHABET[second]}'


def _decode_record(record: str) -> tuple[str, Amounts]:
    """Return the key and the amounts of a record."""
    if record[0] == _PLAIN_MARK:
        key, first, second = record[1:6], record[6], record[7]
        requests = _REQUESTS[_PLACES[first]]
        return key, (requests, 0, 0, _SERVICE[_PLACES[second]])
    return record[:_KEY_CHARS], (
        _REQUESTS[_PLACES[record[5]]],
        _PROMPT[_PLACES[record[6]]],
        _OUTPUT[_PLACES[record[7]]],
        0,
    )


def _to_amounts(load: TargetLoad) -> Amounts:
    """Return the work of a target in whole numbers."""
    return (
        load.requests,
        load.prompt_tokens,
        round(load.output_tokens),
        round(load.seconds * _MS_PER_S),
    )


__all__ = (
    'LOADS_PATTERN',
    'MAX_LOADS_CHARS',
    'MAX_TARGETS',
    'Amounts',
    'decode_loads',
    'encode_loads',
    'encode_record',
    'match_lifetimes',
    'target_key',
)
