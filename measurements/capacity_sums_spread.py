"""Configuration, links and restarts at the target size."""

import math

from measurements import capacity_rows as size
from measurements.capacity_rows import Row, Slopes

_PART_BYTES = 512 * 1024
_STORE_THREADS = 8
_SLOW_S = 1.0
_HEARTBEAT_S = 0.5


def spread_rows(slopes: Slopes) -> list[Row]:
    """Return the rows about configuration, links and restarts."""
    return [*_document_rows(slopes), *_link_rows(slopes)]


def _document_rows(slopes: Slopes) -> list[Row]:
    """Return the rows about the configuration document."""
    section = slopes['section_bytes']
    parse_s = slopes['parse_section'] / 1e6
    check_s = (slopes['check_section'] + slopes['force_section']) / 1e6
    sections = size.ACCOUNTS + size.TARGETS
    part_s = parse_s * _PART_BYTES / section
    changed_s = part_s + check_s * sections
    hop_s = slopes.most('spread_last')
    return [
        Row(
            'configuration',
            'document with 870,000 budgets',
            section * size.BUDGETS,
            math.inf,
            'B',
            'section_bytes x 870,000',
            f'{section * size.BUDGETS / _PART_BYTES:.0f} parts; budgets in '
            'the ledger only',
        ),
        Row(
            'configuration',
            'validation of it',
            parse_s * size.BUDGETS,
            size.IN_FORCE_S,
            's',
            'parse_section x 870,000',
            'budgets in the ledger only; a start and `config apply` need '
            'it whole',
        ),
        Row(
            'configuration',
            'validation without budgets',
            parse_s * sections,
            size.IN_FORCE_S,
            's',
            'parse_section x 41,600 (a budget section stands for one of an '
            'account)',
            'at a start; the operator tool does it for each change',
        ),
        Row(
            'configuration',
            'validation of one changed part',
            changed_s,
            size.IN_FORCE_S,
            's',
            'parse_section x 512 KiB / section_bytes + (check + force) x '
            '41,600',
            'unchanged parts are kept parsed',
        ),
        Row(
            'configuration',
            'change in force on 360 nodes',
            hop_s + _HEARTBEAT_S + 2 * changed_s,
            size.IN_FORCE_S,
            's',
            'spread_last (store, watch, reader, heartbeat, keeper, router) + '
            'one heartbeat + 2 x the row above',
            'hops do not grow with the nodes: one reader a domain, whose '
            'heartbeat reaches all 59',
        ),
        Row(
            'configuration',
            'blocked keeper loop',
            changed_s,
            2.0,
            's',
            'parse_section of one changed part, in the event loop',
            'over 2 s a holder stops and its peers take it for dead; '
            'budgets in the document reach that at '
            f'{2 / check_s:,.0f} sections by check and force alone',
        ),
        Row(
            'configuration',
            'watches',
            size.DOMAINS,
            size.STORE_READS_S,
            '',
            'one a failure domain',
            '360 with one a node: room 5.6',
        ),
    ]


def _link_rows(slopes: Slopes) -> list[Row]:
    """Return the rows about links, a domain's return and restarts."""
    far = 2 * (size.DOMAINS - 1)
    links = size.PER_DOMAIN - 1 + 2 * far + size.PER_DOMAIN
    inside = size.PER_DOMAIN * (size.PER_DOMAIN - 1) / 2
    across = size.PER_DOMAIN * far * 2
    routers = size.PER_DOMAIN**2
    handshakes = inside + across + routers
    roster = slopes.at('roster_row', size.PER_DOMAIN + far)
    reads = size.NODES * size.SHARDS
    return [
        Row(
            'links',
            'links of a keeper',
            links,
            math.inf,
            '',
            '59 + 10 to gateways + 10 from others + 60 routers',
            'each router dials all keepers of its domain; 3 would do: 82',
        ),
        Row(
            'links',
            'handshakes when a domain comes back',
            handshakes,
            math.inf,
            '',
            '60 x 59 / 2 + 60 x 20 + 60 x 60',
            "spread over 0.05 to 3 s by the dialers' jitter: "
            f'{handshakes / size.PER_DOMAIN:.0f} a keeper',
        ),
        Row(
            'links',
            'rosters of a keeper when a domain comes back',
            roster * (size.PER_DOMAIN - 1 + far) * 2,
            math.inf,
            'B',
            'roster_row at 70 x 69 peers x 2 (introduced, first heartbeat)',
            'once; a digest of the roster first would save it',
        ),
        Row(
            'links',
            'ledger reads when a domain comes back',
            size.PER_DOMAIN * size.SHARDS,
            size.STORE_READS_S,
            '',
            '60 x 16 at once',
            'verify() has no jitter',
        ),
        Row(
            'links',
            'restart of all nodes: ledger reads',
            reads / size.STORE_READS_S,
            size.IN_FORCE_S,
            's',
            '360 x 16 / 2,000 a second',
            "at the service's full rate and nothing else",
        ),
        Row(
            'links',
            'restart of all nodes: first writes',
            reads / size.STORE_WRITES_S,
            size.IN_FORCE_S,
            's',
            '360 x 16 / 300 a second, without collisions',
            'no money before it: requests are refused or wait; a journal '
            'needs 360 writes, 1.2 s',
        ),
        Row(
            'links',
            'restart with 1 s answers: ledger reads',
            size.SHARDS / _STORE_THREADS * _SLOW_S,
            size.IN_FORCE_S,
            's',
            '16 records / 8 threads x 1 s',
            'beside it the reader of a domain reads the head and 6 parts: '
            '2 s more; answers over 5 s are given up and asked again',
        ),
    ]
