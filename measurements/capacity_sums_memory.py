"""Memory of a keeper, and what a router holds, at the target size."""

import math

from measurements import capacity_rows as size
from measurements.capacity_rows import Row, Slopes

_THREADS = 256
_KEPT_ANSWERS = 64 * 1024 * 1024
_EVENT_BYTES = 148


def memory_rows(slopes: Slopes) -> list[Row]:
    """Return the memory of a keeper."""
    kept = size.REQUESTS_S * size.KEY_S / size.NODES
    answer = size.TOKENS_S / size.REQUESTS_S * _EVENT_BYTES
    grants = slopes['state_grant'] * 2 * size.DOMAINS
    active = (slopes['state_budget'] + grants) * size.ACCOUNTS
    every = slopes['state_budget'] * size.BUDGETS
    fixed = slopes.base('keeper_memory') + slopes['state_peer'] * size.NODES
    bindings = slopes['state_binding'] * kept
    return [
        Row(
            'keeper',
            'memory, programs and 360 peers',
            fixed,
            size.CONTROL_BYTES,
            'B',
            'keeper_memory intercept + state_peer x 360',
            'the interpreter and its libraries',
        ),
        Row(
            'keeper',
            'memory of remembered keys',
            bindings,
            size.CONTROL_BYTES,
            'B',
            'state_binding x 3,333 (2,000/s x 600 s / 360)',
            'one row a key for 10 minutes; no key-value write',
        ),
        Row(
            'keeper',
            'memory of remembered answers',
            kept * answer,
            _KEPT_ANSWERS,
            'B',
            '3,333 x 325 tokens x 148 B an event',
            'the bound drops the oldest: replays go back '
            f'{_KEPT_ANSWERS / answer / size.REQUESTS_NODE_S:.0f} s; tokens '
            'kept as text of some 5 B in place of events: 1/30',
        ),
        Row(
            'keeper',
            'bytes of recorded outcomes',
            answer * size.REQUESTS_NODE_S,
            size.CONTROL_BYTES_S,
            'B/s',
            '5.56 x 325 x 148 B, when every request has a key',
            "the same, or the answer stays with the router's own keeper and "
            'the home keeps where it is',
        ),
        Row(
            'keeper',
            'memory of active accounts',
            active,
            size.CONTROL_BYTES,
            'B',
            '(state_budget + 12 x state_grant) x 41,000',
            'every keeper mirrors all records; rows only where it is home: '
            '1/60',
        ),
        Row(
            'keeper',
            'memory of all budgets',
            every,
            size.CONTROL_BYTES,
            'B',
            'state_budget x 870,000',
            'budgets in the ledger only, read at first use',
        ),
        Row(
            'keeper',
            'memory in all',
            fixed + bindings + _KEPT_ANSWERS + active,
            size.CONTROL_BYTES,
            'B',
            'keeper_memory + state_binding + 64 MiB of answers + '
            'state_budget and state_grant, as above',
            'as the rows above',
        ),
    ]


def router_rows(slopes: Slopes) -> list[Row]:
    """Return streams, memory and time of a router."""
    streams = size.TOKENS_S * size.TOKEN_GAP_S / size.NODES
    token_us = slopes['relay_product']
    tokens = size.TOKENS_S / size.NODES
    ratio = token_us / slopes['relay_bare']
    return [
        Row(
            'router',
            'open streams',
            streams,
            _THREADS,
            '',
            '650,000 x 0.067 / 360',
            'one worker thread each, 256 by default',
        ),
        Row(
            'router',
            'open streams, a domain lost',
            streams * 6 / 5,
            _THREADS,
            '',
            'x 6/5',
            'the balancer spreads them evenly',
        ),
        Row(
            'router',
            'open streams, a region lost',
            streams * 2,
            _THREADS,
            '',
            'x 2',
            'no room for uneven balance: 512 threads cost only memory',
        ),
        Row(
            'router',
            'memory of streams, a region lost',
            slopes.base('stream_memory')
            + slopes['stream_memory'] * streams * 2,
            size.CONTROL_BYTES,
            'B',
            'stream_memory intercept + slope x 242',
            'relay of 64 KiB a stream',
        ),
        Row(
            'router',
            'relaying',
            token_us * tokens,
            size.CORE_US_S,
            'us/s',
            f'relay_product x 1,806 ({size.CORE_US_S / token_us:,.0f} '
            f'tokens/s a core, {ratio:.2f} of the bare relay)',
            'one process uses one core at most; a region lost doubles it',
        ),
        Row(
            'router',
            'requests beside relaying',
            slopes['request_router'] * size.REQUESTS_NODE_S,
            size.CORE_US_S,
            'us/s',
            'request_router x 5.56 (10 tokens each included)',
            'data path; not counted as control',
        ),
        Row(
            'router',
            'key-value calls',
            0,
            math.inf,
            '/s',
            'routers call no store',
            'only keepers do',
        ),
    ]
