"""Application of a holder's write to a ledger record."""

import dataclasses

from fuchsiafork.budgets import ledger
from fuchsiafork.kernel import stable_hash

# A holder returns tokens only if its grant exceeds this multiple of its
# share, because moving small amounts back and forth costs writes.
RETURN_THRESHOLD_FACTOR = 1.25
# Half of the surplus is split equally. During a network partition demand may
# stay in its failure domain or move; half serves both cases better than all
# or a quarter.
EQUAL_SHARE_DIVISOR = 2
# Each holder is granted its forecast demand for this time before the surplus
# is divided.
DEMAND_HORIZON_S = 10
_DIGEST_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Settlement:
    """
    Tokens used by a request.

    :ivar holder: holder whose grant is charged.
    :ivar key: digest of the idempotency key, or the request id.
    :ivar router: node that waits for the acknowledgement.
    """

    request_id: str
    budget: str
    holder: str
    tokens: int
    key: str
    router: str


@dataclasses.dataclass(frozen=True, slots=True)
class GrantRequest:
    """
    A holder's request for its grant of one budget.

    :ivar committed: tokens that are reserved or used; the grant can't be
        smaller.
    :ivar needed: grant that would also cover the queued requests.
    :ivar rate: forecast demand in tokens per second.
    :ivar is_domain_primary: whether the holder keeps its failure domain's
        part of the surplus that no forecast asks for.
    """

    committed: int
    needed: int
    rate: int
    is_domain_primary: bool = False


@dataclasses.dataclass(slots=True)
class HolderWrite:
    """
    One write of a holder to a record.

    :ivar wall: Unix time of the write.
    :ivar serves_local_routers: whether routers on the holder's own VM may
        have reservations with it.
    :ivar openings: opening credit by budget, in tokens.
    :ivar close_outs: holders to close out.
    :ivar withheld: tokens to keep withheld, by closed-out holder and budget.
    """

    holder: str
    domain: str
    sequence: int
    wall: int
    serves_local_routers: bool = False
    settlements: list[Settlement] = dataclasses.field(default_factory=list)
    transfers: dict[str, ledger.Transfer] = dataclasses.field(
        default_factory=dict,
    )
    grant_requests: dict[str, GrantRequest] = dataclasses.field(
        default_factory=dict
    )
    openings: dict[str, int] = dataclasses.field(default_factory=dict)
    close_outs: list[str] = dataclasses.field(default_factory=list)
    withheld: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict,
    )


def apply_write(record: ledger.Record, write: HolderWrite) -> ledger.Record:
    """
    Return the record after a holder's write.

    :raises ValueError: if the holder has been closed out.
    :raises InvariantViolationError: if a budget would exceed its prepaid
        tokens.
    """
    if write.holder in record.closed:
        raise ValueError(f'holder {write.holder!r} is closed out')
    changed = ledger.copy_record(record)
    changed.holders[write.holder] = ledger.HolderRow(
        write.sequence,
        write.domain,
        write.serves_local_routers,
        write.wall,
    )
    for name, tokens in write.openings.items():
        changed = ledger.open_budget(changed, name, tokens)
    for transfer_id, transfer in write.transfers.items():
        _apply_transfer(changed, transfer_id, transfer, write.holder)
    for settlement in write.settlements:
        _apply_settlement(changed, settlement, write.wall)
    _apply_close_outs(changed, write)
    for name, request in write.grant_requests.items():
        if name in changed.budgets:
            _adjust_grant(changed, changed.budgets[name], write.holder, request)
    _prune(changed, write.wall)
    ledger.check_record(changed)
    return changed


def digest(name: str) -> bytes:
    """Return a short digest of a key or of a request id."""
    return stable_hash(name).to_bytes(_DIGEST_BYTES, 'big')


def _apply_transfer(
    record: ledger.Record,
    transfer_id: str,
    transfer: ledger.Transfer,
    writer: str,
) -> None:
    """Apply a transfer at the first holder's write; remove it at the second."""
    known = record.transfers.get(transfer_id)
    if known is not None:
        if known.writer != writer:
            record.transfers.pop(transfer_id)
        return
    grants = record.budgets[transfer.budget].grants
    for holder, change in (
        (transfer.giver, -transfer.tokens),
        (transfer.receiver, transfer.tokens),
    ):
        grants[holder] = grants.get(holder, 0) + change
    record.transfers[transfer_id] = dataclasses.replace(
        transfer,
        writer=writer,
    )


def _apply_settlement(
    record: ledger.Record,
    settlement: Settlement,
    wall: int,
) -> None:
    """Charge used tokens to the holder's grant, once for each request."""
    key = digest(settlement.key)
    request = digest(settlement.request_id)
    # The second execution of a key is recorded under its request id.
    if record.keys.get(key, (b'', 0))[0] == request or request in record.keys:
        return
    row = record.budgets.setdefault(settlement.budget, ledger.BudgetRow())
    grants = row.grants
    grants[settlement.holder] = (
        grants.get(settlement.holder, 0) - settlement.tokens
    )
    if key in record.keys:
        row.duplicate += settlement.tokens
        record.keys[request] = (request, wall)
    else:
        row.settled += settlement.tokens
        record.keys[key] = (request, wall)


def _apply_close_outs(record: ledger.Record, write: HolderWrite) -> None:
    """Close out dead holders and reduce withheld grants."""
    for name in write.close_outs:
        row = record.holders.pop(name, None)
        if row is not None:
            record.closed[name] = dataclasses.replace(
                row,
                closed=write.wall,
            )
    for (holder, budget), tokens in write.withheld.items():
        grants = record.budgets[budget].grants
        if holder in record.closed and grants.get(holder, 0) > tokens:
            grants[holder] = tokens


def _fair_share(
    record: ledger.Record, row: ledger.BudgetRow, request: GrantRequest
) -> int:
    """
    Return a holder's share of the unspent tokens.

    Forecast demand is covered first. Half of the surplus is divided in
    proportion to the forecasts and half equally between the failure
    domains, because a partitioned domain can't get more tokens when its
    demand rises.
    """
    unspent = row.prepaid - row.settled - row.duplicate
    total_rate = sum(row.rates.values())
    surplus = unspent - total_rate * DEMAND_HORIZON_S
    if surplus <= 0:
        return unspent * request.rate // max(1, total_rate)
    domains = {
        record.holders[name].domain
        for name in row.rates
        if name in record.holders
    }
    equal_share = surplus // EQUAL_SHARE_DIVISOR
    surplus_share = (
        equal_share // len(domains)
        if request.is_domain_primary and domains
        else 0
    )
    if total_rate:
        surplus_share += (surplus - equal_share) * request.rate // total_rate
    return request.rate * DEMAND_HORIZON_S + surplus_share


def _adjust_grant(
    record: ledger.Record,
    row: ledger.BudgetRow,
    holder: str,
    request: GrantRequest,
) -> None:
    """Move a holder's grant towards its share of the unspent tokens."""
    grant = row.grants.get(holder, 0)
    row.rates[holder] = request.rate
    if not request.rate and not request.is_domain_primary:
        row.rates.pop(holder)
    share = _fair_share(record, row, request)
    desired_grant = max(request.committed, request.needed, share)
    if grant < desired_grant:
        grant += max(0, min(desired_grant - grant, row.free))
    elif grant > max(
        RETURN_THRESHOLD_FACTOR * share, request.committed, request.needed
    ):
        grant = desired_grant
    row.grants[holder] = grant


def _drop_if_counterpart_closed(
    record: ledger.Record,
    name: str,
    transfer: ledger.Transfer,
) -> None:
    """Remove a transfer whose counterpart is closed out and can't write."""
    counterpart = {transfer.giver, transfer.receiver} - {transfer.writer}
    if counterpart <= record.closed.keys():
        record.transfers.pop(name)


def _prune(record: ledger.Record, wall: int) -> None:
    """Remove entries that no later write can refer to."""
    for row in record.budgets.values():
        row.rates = {
            holder: rate
            for holder, rate in row.rates.items()
            if holder not in record.closed
        }
        row.grants = {
            holder: grant for holder, grant in row.grants.items() if grant
        }
    for name, transfer in list(record.transfers.items()):
        _drop_if_counterpart_closed(record, name, transfer)
    while len(record.closed) > ledger.MAX_CLOSED_HOLDERS:
        record.closed.pop(next(iter(record.closed)))
    _prune_keys(record.keys, wall - ledger.KEY_RETENTION_S)


def _prune_keys(keys: dict[bytes, tuple[bytes, int]], oldest: int) -> None:
    """Remove expired settled keys and those over the limit, oldest first."""
    for key in list(keys):
        # Keys are in order of time, so the first one to keep ends the search.
        if keys[key][1] >= oldest and len(keys) <= ledger.MAX_SETTLED_KEYS:
            break
        keys.pop(key)
