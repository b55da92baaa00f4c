"""Money that holders move between themselves outside the ledger."""

from fuchsiafork import messages
from fuchsiafork.budgets import ledger
from fuchsiafork.budgets.tables import HolderTables, LocalTransfer, Shard
from fuchsiafork.kernel import Context, rank

REQUEST_INTERVAL_S = 0.03
REQUEST_FANOUT = 2
# Three rounds of questions; the asker repeats a question that still holds.
REQUEST_TTL_S = 0.3
REPEAT_INTERVAL_S = 0.5


def apply_counterpart_writes(
    tables: HolderTables, shard: Shard, now: float
) -> None:
    """Follow the transfers that the other side has written."""
    for name, transfer in shard.record.transfers.items():
        involved = tables.holder in {transfer.giver, transfer.receiver}
        if not involved or transfer.writer == tables.holder:
            continue
        transfer_row = tables.transfers.get(name)
        if transfer_row is None:
            # The message was lost; the ledger brings the money.
            tables.seen_transfers[name] = now
            tables.transfers[name] = LocalTransfer(
                transfer,
                0,
                counterpart_wrote=True,
                acknowledged=True,
                sent_at=now,
            )
        elif not transfer_row.counterpart_wrote:
            transfer_row.counterpart_wrote = True
            tables.budget(
                transfer.budget, now
            ).net_transfers -= transfer_row.credit


def complete_transfer(tables: HolderTables, name: str, now: float) -> None:
    """Forget a transfer that this side has written."""
    transfer_row = tables.transfers.pop(name, None)
    if transfer_row is not None and not transfer_row.counterpart_wrote:
        tables.budget(
            transfer_row.transfer.budget, now
        ).net_transfers -= transfer_row.credit


def node_of(holder: str) -> str:
    """Return the node on which a holder runs or ran."""
    return holder.partition('#')[0]


class TransferManager:
    """Asks other holders for money and gives it to those that ask."""

    def __init__(self, context: Context, tables: HolderTables) -> None:
        """Start with nothing asked."""
        self._context = context
        self._tables = tables
        self._request_count = 0
        self._fenced_givers: set[str] = set()
        self._pending_requests: dict[
            tuple[str, str], tuple[messages.AskTransfer, float]
        ] = {}

    def reset(self, tables: HolderTables) -> None:
        """Go on under a new holder id."""
        self._tables = tables

    def tick(self, domains: set[str], live: set[str]) -> None:
        """
        Ask for the requests that wait; repeat what was not received.

        :param domains: failure domains that can be reached.
        :param live: live keepers of this one.
        """
        now = self._context.clock.now()
        for budget, tokens in self._smallest_waiting().items():
            state = self._tables.budget(budget, now)
            shortage = tokens - state.available(self._tables.holder)
            if now - state.last_request_at > REQUEST_TTL_S:
                # A new shortage: the richest holders are asked first again.
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
        for name, transfer_row in self._tables.transfers.items():
            if (
                not transfer_row.acknowledged
                and now - transfer_row.sent_at > REPEAT_INTERVAL_S
            ):
                transfer_row.sent_at = now
                self._send_grant(name, transfer_row.transfer)

    def serve_request(
        self,
        message: messages.AskTransfer,
        expires_at: float | None = None,
    ) -> None:
        """
        Debit this holder and send the money, or what there is of it.

        :param until: local clock time to which the question stands.
        """
        tables = self._tables
        now = self._context.clock.now()
        name = message.transfer_id
        if name in tables.seen_transfers:
            return
        state = tables.budget(message.budget, now)
        registered = state.shard.record.holders
        if not {message.receiver, tables.holder} <= registered.keys():
            # A holder that has just started is not in an older copy of the
            # record yet; the question stands until the record is read.
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
        """Keep a question until there is money for it, or time runs out."""
        self._pending_requests[message.budget, message.receiver] = (
            message,
            expires_at,
        )

    def serve_pending_requests(self) -> None:
        """Serve recent questions for which there was no money before."""
        now = self._context.clock.now()
        pending_requests = self._pending_requests
        self._pending_requests = {}
        for message, expires_at in pending_requests.values():
            if now < expires_at:
                self.serve_request(message, expires_at)

    def accept(self, message: messages.TransferGrant) -> None:
        """Credit a transfer once and acknowledge every copy of it."""
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
        """Stop repeating a transfer."""
        transfer_row = self._tables.transfers.get(message.transfer_id)
        if transfer_row is not None:
            transfer_row.acknowledged = True

    def fence_giver(self, giver: str) -> bool:
        """
        Return whether all money from a giver is in the ledger.

        The giver is being closed out: a transfer that it still sends is
        refused from then on, for its grant is given to others.
        """
        self._fenced_givers.add(giver)
        return not any(
            transfer_row.transfer.giver == giver
            and not transfer_row.counterpart_wrote
            for transfer_row in self._tables.transfers.values()
        )

    def _tokens_kept_for_own_requests(
        self, message: messages.AskTransfer
    ) -> int:
        """
        Return what waiting requests of this holder come first with.

        Of two holders that are both short, the one that is shorter yields,
        so that the parts come together in one place. One whose money would
        serve the asker's request whole yields too: it would otherwise keep
        for its own request what serves neither of them.
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
        # The smaller need comes first: its request is served sooner.
        yields = message.tokens < shortage or preferred != own
        return 0 if yields and message.tokens <= shortage else needed

    def _smallest_waiting(self) -> dict[str, int]:
        """
        Return the smallest waiting request by budget, in tokens.

        A large request that cannot be met must not keep from the small ones
        of other holders what would serve them.
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
        """Return the holders that can be asked, richest first."""
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
        """Ask the next holders of a budget."""
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
        """Send money to its receiver."""
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
