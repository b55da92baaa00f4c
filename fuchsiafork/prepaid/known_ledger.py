"""What one process knows of the ledger from the last record it has read."""

from fuchsiafork.prepaid.account_state import AccountState
from fuchsiafork.prepaid.changes import AccountSummary
from fuchsiafork.prepaid.ledger import Ledger


def count_live_holders(ledger: Ledger | None, wall: float) -> int:
    """
    Return the number of holders with a recent write, at least one.

    :param wall: Unix time, seconds.
    """
    if ledger is None:
        return 1
    return max(1, len(ledger.live_holders(wall)))


def peer_addresses(ledger: Ledger | None, own_address: str) -> list[str]:
    """Return the addresses of the other holders."""
    if ledger is None:
        return []
    return [
        holder.address
        for holder in ledger.holders.values()
        if holder.address != own_address
    ]


def peers_by_grant(
    ledger: Ledger | None, account: str, own_holder: str, wall: float
) -> list[str]:
    """Return addresses of live holders with a grant, the largest first."""
    if ledger is None:
        return []
    entry = ledger.entry(account)
    holders = [
        holder
        for holder in ledger.live_holders(wall)
        if holder != own_holder and entry.share(holder).grant
    ]
    holders.sort(key=lambda name: entry.share(name).grant, reverse=True)
    return [ledger.holders[holder].address for holder in holders]


def summarize(
    ledger: Ledger | None,
    account: str,
    own_holder: str,
    state: AccountState,
    prepaid: int,
    wall: float,
) -> AccountSummary:
    """
    Return the distribution of an account's tokens.

    :param state: the process's own state of the account.
    """
    if ledger is None:
        return AccountSummary(prepaid, 0, 0, 0, 0, 0)
    entry = ledger.entry(account)
    live_holders = set(ledger.live_holders(wall))
    grants = {name: share.grant for name, share in entry.shares.items()}
    others = live_holders - {own_holder}
    return AccountSummary(
        prepaid=prepaid,
        spent=entry.spent,
        free=max(0, entry.free(prepaid)),
        held=state.share.grant - state.used - state.reserved,
        held_by_others=sum(grants.get(name, 0) for name in others),
        withheld=sum(grants.values())
        - sum(grants.get(name, 0) for name in live_holders),
    )


__all__ = (
    'count_live_holders',
    'peer_addresses',
    'peers_by_grant',
    'summarize',
)
