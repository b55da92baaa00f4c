"""Key-value calls and bytes of the ledger at the target size."""

import math

from measurements import capacity_rows as size
from measurements.capacity_rows import Row, Slopes

_READ_INTERVAL_S = 5
_KEYS_KEPT = 4096
_HOLDERS = 2 * size.DOMAINS
_CLAIM_SHARE = 0.05
_SWEPT_S = 128
_JOURNAL_S = 10
_MORE_SHARDS = 256


def record_size(slopes: Slopes, budgets: float, keys: float) -> float:
    """Return the bytes of a record with all keepers as its writers."""
    row = slopes['record_budget'] + _HOLDERS * slopes['record_holder']
    writers = slopes['record_writer'] * size.NODES
    return row * budgets + writers + slopes['record_key'] * keys


def ledger_rows(slopes: Slopes) -> list[Row]:
    """Return the rows about the ledger and the claims."""
    keys = size.REQUESTS_S * size.KEY_S / size.SHARDS
    active = record_size(slopes, size.ACCOUNTS / size.SHARDS, _KEYS_KEPT)
    wider = record_size(slopes, size.ACCOUNTS / _MORE_SHARDS, _KEYS_KEPT)
    every = record_size(slopes, size.BUDGETS / size.SHARDS, _KEYS_KEPT)
    swaps = slopes['load_swaps'] * size.REQUESTS_S
    dirty = size.SHARDS * -math.expm1(-size.REQUESTS_NODE_S / size.SHARDS)
    hot = slopes.most('hot_swaps')
    reads = slopes['idle_reads'] * size.NODES
    claims = size.REQUESTS_S * _CLAIM_SHARE
    read_bytes = active * size.SHARDS / _READ_INTERVAL_S
    return [
        Row(
            'ledger',
            'record, 41,000 accounts',
            active,
            size.VALUE_BYTES,
            'B',
            '(record_budget + 12 x record_holder) x 2,563 + record_writer x '
            '360 + record_key x 4,096',
            f'256 shards: {wider:,.0f} B, and 16 times the reads below',
        ),
        Row(
            'ledger',
            'record, 870,000 budgets',
            every,
            size.VALUE_BYTES,
            'B',
            'the same with record_budget x 54,375',
            'budgets without grants take 23 B; a grant only where there is '
            'demand',
        ),
        Row(
            'ledger',
            'swaps, no collision',
            dirty * size.NODES,
            size.STORE_WRITES_S,
            '/s',
            '360 x 16 (1 - exp(-5.56/16)): each record that a holder has a '
            'settlement for, once a second',
            f'a journal a holder, one write every {_JOURNAL_S} s and no '
            f'collisions: {size.NODES / _JOURNAL_S:.0f}/s; settlements are '
            'durable 10 s later; budget records change only at refills',
        ),
        Row(
            'ledger',
            'swaps, as measured',
            swaps,
            size.STORE_WRITES_S,
            '/s',
            'load_swaps x 2,000 (12 holders; more collide more)',
            'a journal a holder, as above',
        ),
        Row(
            'ledger',
            'bytes written',
            active * dirty,
            size.CONTROL_BYTES_S,
            'B/s and node',
            '4.7 records/s x (record_budget and others, as above)',
            'the journal holds 56 settlements of some 48 B: 270 B/s',
        ),
        Row(
            'ledger',
            'one hot account, swaps',
            hot,
            size.STORE_WRITES_S,
            '/s',
            'most of hot_swaps (12 holders, up to 60 requests/s)',
            "levels off at the holders' write interval and collisions",
        ),
        Row(
            'ledger',
            'one hot account, bytes',
            hot * active / _HOLDERS,
            size.CONTROL_BYTES_S,
            'B/s and holder',
            'hot_swaps x record / 12',
            'a record of its own: 12 grants and 12 writers are '
            f'{record_hot(slopes):,.0f} B, plus its keys',
        ),
        Row(
            'ledger',
            'periodic reads',
            reads,
            size.STORE_READS_S,
            '/s',
            'idle_reads x 360 (1,152 by the interval alone: 360 x 16 / 5)',
            'the reads grow with nodes x shards; read only the records one '
            'is home to',
        ),
        Row(
            'ledger',
            'bytes read',
            read_bytes,
            size.CONTROL_BYTES_S,
            'B/s and node',
            '16 records (record_budget and others, as above) / 5 s',
            'a read of the revision alone when nothing changed; with the '
            'journal, budget records change rarely',
        ),
        Row(
            'ledger',
            'settled keys kept',
            keys,
            _KEYS_KEPT,
            '/record',
            '2,000/s x 600 s / 16',
            'older ones are dropped after '
            f'{_KEYS_KEPT * size.SHARDS / size.REQUESTS_S:.0f} s in place of '
            '600 s; in the journals 3,333 a holder: 80 kB in parts by minute',
        ),
        Row(
            'ledger',
            'record with all settled keys',
            record_size(slopes, size.ACCOUNTS / size.SHARDS, keys),
            size.VALUE_BYTES,
            'B',
            'as the record, with record_key x 75,000',
            'keys in the journals',
        ),
        Row(
            'ledger',
            'claims and their removals',
            2 * claims,
            size.STORE_WRITES_S,
            '/s',
            '2 x 2,000 x 5% non-idempotent (assumed)',
            'leaves 100/s to all else; 7.5% would take all; a lease shared '
            'by the claims of an hour would save the removals',
        ),
        Row(
            'ledger',
            'removal of old claims',
            claims,
            _SWEPT_S,
            '/s',
            '2,000 x 5%',
            'one sweeper, 64 deletes every 0.5 s',
        ),
        Row(
            'ledger',
            'key-value writes in all',
            swaps + 2 * claims,
            size.STORE_WRITES_S,
            '/s',
            'load_swaps x 2,000 + claims and removals',
            'journals: 36/s and the refills',
        ),
        Row(
            'ledger',
            'key-value reads in all',
            reads + slopes['load_reads'] * size.REQUESTS_S,
            size.STORE_READS_S,
            '/s',
            'idle_reads x 360 + load_reads x 2,000',
            'a read follows a collision, which journals do not have',
        ),
        Row(
            'operator',
            'writes of configuration changes',
            2 * size.CHANGES_DAY / 86_400,
            size.STORE_WRITES_S,
            '/s',
            '(part and head) x 1,100 / 86,400 s',
            'changed parts only',
        ),
        Row(
            'operator',
            'bytes of a top-up',
            2 * active,
            math.inf,
            'B',
            'one read and one swap of a record, without collisions',
            f'{dirty * size.NODES / size.SHARDS:.0f} other swaps a second on '
            'the record make it collide: a journal or a record a budget',
        ),
    ]


def record_hot(slopes: Slopes) -> float:
    """Return the bytes of a record with one account drawn on everywhere."""
    row = slopes['record_budget'] + _HOLDERS * slopes['record_holder']
    return row + _HOLDERS * slopes['record_writer']
