"""
Transfers of tokens between holders without a ledger write.

Giver and receiver both write a transfer to the ledger later, in any order;
the first write moves the grant, the second one removes the transfer.
"""

from fuchsiafork import messages
from fuchsiafork.budgets import ledger
from fuchsiafork.budgets.tables import HolderTables, LocalTransfer, Shard
from fuchsiafork.kernel import Context, rank

REQUEST_INTERVAL_S = 0.03
REQUEST_FANOUT = 2
# Time for three rounds of requests; the sender repeats a request that it
# still needs.
REQUEST_TTL_S = 0.3
RESEND_INTERVAL_S = 0.5


def apply_counterpart_writes(
    tables: HolderTables, shard: Shard, now: float
) -> None:
    """Apply the transfers that the counterpart has written to the ledger."""
    for name, transfer in shard.record.transfers.items():
        involved = tables.holder in {transfer.giver, transfer.receiver}
        if not involved or transfer.writer == tables.holder:
            continue
        local_transfer = tables.transfers.get(name)
        if local_transfer is None:
            # The message was lost; the tokens are credited by the ledger.
            tables.seen_transfers[name] = now
            tables.transfers[name] = LocalTransfer(
                transfer,
                0,
                counterpart_wrote=True,
                acknowledged=True,
                sent_at=now,
            )
        elif not local_transfer.counterpart_wrote:
            local_transfer.counterpart_wrote = True
            tables.budget(
                transfer.budget, now
            ).net_transfers -= local_transfer.credit


def complete_transfer(tables: HolderTables, name: str, now: float) -> None:
    """Remove a transfer after this holder has written it."""
    local_transfer = tables.transfers.pop(name, None)
    if local_transfer is not None and not local_transfer.counterpart_wrote:
        tables.budget(
            local_transfer.transfer.budget, now
        ).net_transfers -= local_transfer.credit


def node_of(holder: str) -> str:
    """Return the node id of a holder, running or not."""
    return holder.partition('#')[0]


class TransferManager:
    """Requests tokens from other holders and serves their requests."""

    def __init__(self, context: Context, tables: HolderTables) -> None:
        """Start without requests."""
        self._context = context
        self._tables = tables
        self._request_count = 0
        self._fenced_givers: set[str] = set()
        self._pending_requests: dict[
            tuple[str, str], tuple[messages.AskTransfer, float]
        ] = {}

    def reset(self, tables: HolderTables) -> None:
        """Switch to the tables of a new holder id."""
        self._tables = tables

    def tick(self, domains: set[str], live: set[str]) -> None:
        """
        Request tokens for queued requests; resend unacknowledged transfers.

        :param domains: failure domains that can be reached.
        :param live: live keepers of this keeper's failure domain.
        """
        now = self._context.clock.now()
        for budget, tokens in self._smallest_waiting().items():
            state = self._tables.budget(budget, now)
            shortage = tokens - state.available(self._tables.holder)
            if now - state.last_request_at > REQUEST_TTL_S:
                # A new shortage starts again at the holder with the largest
                # grant.
                state.requests_sent = 0
            if (
                shortage > 0
                and now - state.last_request_at >= REQUEST_INTERVAL_S
            ):
                state.last_request_at = now
                self._send_requests(
                    budget,
                    shortage,
                    self._transfer_candidates(budget, domains, live),
                )
        for name, local_transfer in self._tables.transfers.items():
            if (
                not local_transfer.acknowledged
                and now - local_transfer.sent_at > RESEND_INTERVAL_S
            ):
                local_transfer.sent_at = now
                self._send_grant(name, local_transfer.transfer)

    def serve_request(
        self,
        message: messages.AskTransfer,
        expires_at: float | None = None,
    ) -> None:
        """
        Debit this holder and send the tokens, or as many as it can spare.

        A request that can't be served is kept and tried again later.

        :param expires_at: local clock time until which a kept request is
            tried again; by default ``REQUEST_TTL_S`` from now.
        """
        tables = self._tables
        now = self._context.clock.now()
        name = message.transfer_id
        if name in tables.seen_transfers:
            return
        state = tables.budget(message.budget, now)
        registered = state.shard.record.holders
        if not {message.receiver, tables.holder} <= registered.keys():
            # A holder that has just started is missing from an older copy
            # of the record; the request is kept until the record is read.
            state.shard.needs_read = True
            self._keep_request(message, now + REQUEST_TTL_S)
            return
        spendable = state.available(
            tables.holder
        ) - self._tokens_kept_for_own_requests(message)
        tokens = min(message.tokens, spendable)
        if tokens <= 0:
            self._keep_request(
                message,
                now + REQUEST_TTL_S if expires_at is None else expires_at,
            )
            return
        tables.seen_transfers[name] = now
        state.net_transfers -= tokens
        transfer = ledger.Transfer(
            message.budget,
            tables.holder,
            message.receiver,
            tokens,
        )
        tables.transfers[name] = LocalTransfer(
            transfer,
            -tokens,
            counterpart_wrote=False,
            acknowledged=False,
            sent_at=now,
        )
        self._context.events.record(
            'transfer_given',
            transfer=name,
            budget=message.budget,
            receiver=message.receiver,
            tokens=tokens,
        )
        self._send_grant(name, transfer)

    def _keep_request(
        self, message: messages.AskTransfer, expires_at: float
    ) -> None:
        """Keep a request until it can be served or expires."""
        self._pending_requests[message.budget, message.receiver] = (
            message,
            expires_at,
        )

    def serve_pending_requests(self) -> None:
        """Try the kept requests again."""
        now = self._context.clock.now()
        pending_requests = self._pending_requests
        self._pending_requests = {}
        for message, expires_at in pending_requests.values():
            if now < expires_at:
                self.serve_request(message, expires_at)

    def accept(self, message: messages.TransferGrant) -> None:
        """Credit a transfer once and acknowledge each copy of its message."""
        tables = self._tables
        if message.receiver != tables.holder:
            return
        is_known = message.transfer_id in tables.seen_transfers
        if message.giver in self._fenced_givers and not is_known:
            return
        now = self._context.clock.now()
        name = message.transfer_id
        if name not in tables.seen_transfers:
            tables.seen_transfers[name] = now
            state = tables.budget(message.budget, now)
            state.net_transfers += message.tokens
            tables.transfers[name] = LocalTransfer(
                ledger.Transfer(
                    message.budget,
                    message.giver,
                    message.receiver,
                    message.tokens,
                ),
                message.tokens,
                counterpart_wrote=False,
                acknowledged=True,
                sent_at=now,
            )
        self._context.outbox.send(
            node_of(message.giver),
            messages.TransferReceived(
                name,
                message.budget,
                message.giver,
                message.receiver,
            ),
        )

    def record_acknowledgement(
        self, message: messages.TransferReceived
    ) -> None:
        """Stop resending a transfer that its receiver has acknowledged."""
        local_transfer = self._tables.transfers.get(message.transfer_id)
        if local_transfer is not None:
            local_transfer.acknowledged = True

    def fence_giver(self, giver: str) -> bool:
        """
        Reject further transfers from a giver that is being closed out.

        Its grant is returned to the budget, so a transfer that it still
        sends would count twice.

        :returns: whether all transfers received from it are in the ledger.
        """
        self._fenced_givers.add(giver)
        return not any(
            local_transfer.transfer.giver == giver
            and not local_transfer.counterpart_wrote
            for local_transfer in self._tables.transfers.values()
        )

    def _tokens_kept_for_own_requests(
        self, message: messages.AskTransfer
    ) -> int:
        """
        Return the tokens kept for this holder's smallest queued request.

        If both holders are short, the one with the larger shortage yields,
        so that one of them can serve a request instead of neither. A holder
        that can cover the other's request in full but not its own yields
        too: the tokens that it kept would serve neither request.
        """
        own = self._tables.holder
        needed = self._smallest_waiting().get(message.budget, 0)
        state = self._tables.budget(
            message.budget,
            self._context.clock.now(),
        )
        spendable = state.available(own)
        shortage = needed - spendable
        if shortage > 0 and message.tokens <= spendable:
            return 0
        preferred = rank(message.budget, (own, message.receiver))[0]
        # The smaller shortage takes precedence, because it is covered
        # sooner. Equal shortages are decided by rank.
        yields = message.tokens < shortage or preferred != own
        return 0 if yields and message.tokens <= shortage else needed

    def _smallest_waiting(self) -> dict[str, int]:
        """
        Return the size of the smallest queued request by budget, in tokens.

        A large request that can't be covered must not withhold tokens from
        smaller requests of other holders.
        """
        smallest: dict[str, int] = {}
        for row in self._tables.waiting.values():
            name = row.message.budget
            tokens = row.message.tokens
            smallest[name] = min(tokens, smallest.get(name, tokens))
        return smallest

    def _transfer_candidates(
        self,
        budget: str,
        domains: set[str],
        live: set[str],
    ) -> list[str]:
        """Return the reachable holders of a budget, largest grant first."""
        shard = self._tables.shard_of(budget)
        own = shard.record.holders.get(self._tables.holder)
        if own is None:
            return []
        row = shard.record.budgets.get(budget)
        grants = row.grants if row else {}
        reachable_holders = {
            holder
            for holder, other in shard.record.holders.items()
            if other.domain in domains
            and (other.domain != own.domain or node_of(holder) in live)
        }
        return sorted(
            reachable_holders - {self._tables.holder},
            key=lambda holder: (-grants.get(holder, 0), holder),
        )

    def _send_requests(
        self, budget: str, shortage: int, candidates: list[str]
    ) -> None:
        """Send transfer requests to the next candidates, in rotation."""
        state = self._tables.budget(budget, self._context.clock.now())
        for _ in candidates[:REQUEST_FANOUT]:
            giver = candidates[state.requests_sent % len(candidates)]
            state.requests_sent += 1
            self._request_count += 1
            self._context.outbox.send(
                node_of(giver),
                messages.AskTransfer(
                    f'{self._tables.holder}:{self._request_count}',
                    budget,
                    self._tables.holder,
                    shortage,
                ),
            )

    def _send_grant(self, name: str, transfer: ledger.Transfer) -> None:
        """Send a transfer to its receiver."""
        self._context.outbox.send(
            node_of(transfer.receiver),
            messages.TransferGrant(
                name,
                transfer.budget,
                transfer.giver,
                transfer.receiver,
                transfer.tokens,
            ),
        )
