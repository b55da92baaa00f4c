"""What the measured slopes give at the target size."""

import math
from collections.abc import Mapping

from measurements import capacity_rows as size
from measurements.capacity_fit import Series
from measurements.capacity_rows import Row, Slopes
from measurements.capacity_sums_ledger import ledger_rows
from measurements.capacity_sums_memory import memory_rows, router_rows
from measurements.capacity_sums_spread import spread_rows

_HOME_MESSAGES = 7
_TICKS_S = 10
_ROLLOUTS = 7
_GROUP = 16


def sums(found: Mapping[str, Series]) -> list[Row]:
    """Return every row of the page, by role."""
    slopes = Slopes(found)
    return [
        *_keeper_rows(slopes),
        *memory_rows(slopes),
        *ledger_rows(slopes),
        *spread_rows(slopes),
        *router_rows(slopes),
    ]


def _keeper_rows(slopes: Slopes) -> list[Row]:
    """Return messages and processor time of a keeper."""
    reports = slopes['rollout_sends'] * _ROLLOUTS
    reports *= size.PEERS / (size.PER_DOMAIN - 1)
    idle_us = slopes.at('idle_cpu', size.PEERS)
    request_us = slopes['request_keeper'] * size.REQUESTS_NODE_S
    idle_bytes = slopes.at('idle_bytes', size.PEERS)
    request_bytes = slopes['request_bytes'] * size.REQUESTS_NODE_S
    ticks_us = slopes.at('tick_rollout', _ROLLOUTS) * _TICKS_S
    evidence = slopes.at('evidence_ratio', 8)
    share = slopes.at('route_member', size.PER_DOMAIN) * _HOME_MESSAGES
    owner = size.REQUESTS_S * _GROUP / size.TARGETS
    return [
        Row(
            'keeper',
            'messages sent when idle',
            slopes.at('idle_messages', size.PEERS),
            math.inf,
            '/s',
            'idle_messages at 69 peers',
            'a heartbeat every 0.5 s to 59 peers and 10 gateways; '
            'rosters, router polls',
        ),
        Row(
            'keeper',
            'bytes sent when idle',
            idle_bytes,
            size.CONTROL_BYTES_S,
            'B/s',
            'idle_bytes at 69 peers',
            'positional bodies in place of field names and admin addresses '
            'only after a change; a 1 s beat with 4 s of silence halves it '
            'and doubles the time to see a death',
        ),
        Row(
            'keeper',
            'bytes for requests',
            request_bytes,
            size.CONTROL_BYTES_S,
            'B/s',
            'request_bytes x 5.56',
            'one slot, one reservation and one settlement a request; both '
            'directions of both keepers are counted, loopback to the router '
            'too',
        ),
        Row(
            'keeper',
            'bytes of one rollout with news',
            2 * size.PEERS * evidence,
            size.CONTROL_BYTES_S,
            'B/s',
            '2/s x 69 x (evidence_ratio at 8), at a keeper that observes it',
            'to 2 peers, which merge and pass on twice a second: 1/34 and '
            '0.5 s later',
        ),
        Row(
            'keeper',
            'bytes of 7 rollouts without news',
            reports * evidence,
            size.CONTROL_BYTES_S,
            'B/s',
            '7 rollouts x rollout_sends x 69/59 x (evidence_ratio at 8)',
            'reports without news to 2 peers in place of all 69: factor 34 '
            'less, 1 more hop for a late joiner',
        ),
        Row(
            'keeper',
            'idle processor time',
            idle_us,
            size.CONTROL_US_S,
            'us/s',
            'idle_cpu at 69 peers (no sockets)',
            'mostly encode, decode and validation of heartbeats; one encoding '
            'for all receivers saves 68 of 69',
        ),
        Row(
            'keeper',
            'processor time for requests',
            request_us,
            size.CONTROL_US_S,
            'us/s',
            'request_keeper x 5.56',
            'sockets, codec and systems of real programs; the share of '
            'ledger writes grows with the record',
        ),
        Row(
            'keeper',
            'finding homes',
            share * size.REQUESTS_NODE_S,
            size.CONTROL_US_S,
            'us/s',
            'route_member at 60 x 7 messages x 5.56',
            'ranks all 60 for each message; a cache by key until the view '
            'changes would leave a look-up',
        ),
        Row(
            'keeper',
            'processor time in all, without accounts',
            idle_us + request_us + ticks_us,
            size.CONTROL_US_S,
            'us/s',
            'idle_cpu + request_keeper + tick_rollout, as above',
            'the rows above; ticks over accounts come on top',
        ),
        Row(
            'keeper',
            'bytes in all, without the ledger',
            idle_bytes + request_bytes + reports * evidence,
            size.CONTROL_BYTES_S,
            'B/s',
            'idle_bytes + request_bytes + rollout_sends, as above',
            'the rows above',
        ),
        Row(
            'keeper',
            'ticks over active accounts',
            slopes['tick_budget'] * size.ACCOUNTS * _TICKS_S,
            size.CONTROL_US_S,
            'us/s',
            'tick_budget x 41,000 x 10',
            'every keeper has a row of every configured budget and ranks 60 '
            'members for each at every write; rows only for budgets it is '
            'home to: 1/60',
        ),
        Row(
            'keeper',
            'ticks over 16 targets',
            slopes['tick_target'] * _GROUP * _TICKS_S,
            size.CONTROL_US_S,
            'us/s',
            'tick_target x 16 x 10',
            'the owner of one group',
        ),
        Row(
            'keeper',
            'ticks over 122 keys in progress',
            slopes['tick_binding'] * 122 * _TICKS_S,
            size.CONTROL_US_S,
            'us/s',
            'tick_binding x 122 x 10',
            'only open rows are visited',
        ),
        Row(
            'keeper',
            'ticks over 7 rollouts',
            ticks_us,
            size.CONTROL_US_S,
            'us/s',
            'tick_rollout at 7 x 10 (59 peers)',
            'the peers are ranked in each tick',
        ),
        Row(
            'keeper',
            'slot messages at an owner',
            4 * owner,
            math.inf,
            '/s',
            '2,000 x 16/600 requests x 4 (acquire, acquired, release, '
            'released)',
            'an owner of 16 targets has 53 requests/s, not 5.56',
        ),
        Row(
            'keeper',
            'processor time of an owner',
            slopes['request_keeper'] * owner,
            size.CONTROL_US_S,
            'us/s',
            'request_keeper x 53 (upper bound: all its parts)',
            'slots leased in blocks, or smaller groups over more keepers: '
            '600 targets over 360 keepers are 2 a group',
        ),
    ]
