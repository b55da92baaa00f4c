"""Money that holders move between themselves outside the ledger."""

from fuchsiafork import messages
from fuchsiafork.budgets import ledger
from fuchsiafork.budgets.tables import HolderTables, LocalTransfer, Shard
from fuchsiafork.kernel import Context, rank

ASK_INTERVAL_S = 0.03
ASKED_AT_ONCE = 2
# Three rounds of questions; the asker repeats a question that still holds.
STANDING_S = 0.3
REPEAT_S = 0.5


def adopt_transfers(tables: HolderTables, shard: Shard, now: float) -> None:
    """Follow the transfers that the other side has written."""
    for name, transfer in shard.record.transfers.items():
        mine = tables.holder in {transfer.giver, transfer.receiver}
        if not mine or transfer.writer == tables.holder:
            continue
        held = tables.transfers.get(name)
        if held is None:
            # The message was lost; the ledger brings the money.
            tables.seen_transfers[name] = now
            tables.transfers[name] = LocalTransfer(
                transfer,
                0,
                in_ledger=True,
                received=True,
                sent_at=now,
            )
        elif not held.in_ledger:
            held.in_ledger = True
            tables.budget(transfer.budget, now).moved -= held.change


def resolve_transfer(tables: HolderTables, name: str, now: float) -> None:
    """Forget a transfer that this side has written."""
    held = tables.transfers.pop(name, None)
    if held is not None and not held.in_ledger:
        tables.budget(held.transfer.budget, now).moved -= held.change


def node_of(holder: str) -> str:
    """Return the node on which a holder runs or ran."""
    return holder.partition('#')[0]


class TransferDesk:
    """Asks other holders for money and gives it to those that ask."""

    def __init__(self, context: Context, tables: HolderTables) -> None:
        """Start with nothing asked."""
        self._context = context
        self._tables = tables
        self._count = 0
        self._barred: set[str] = set()
        self._standing: dict[
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
        for budget, tokens in self._least_needs().items():
            state = self._tables.budget(budget, now)
            short = tokens - state.available(self._tables.holder)
            if now - state.last_ask > STANDING_S:
                # A new shortage: the richest holders are asked first again.
                state.asked = 0
            if short > 0 and now - state.last_ask >= ASK_INTERVAL_S:
                state.last_ask = now
                self._ask(budget, short, self._givers(budget, domains, live))
        for name, held in self._tables.transfers.items():
            if not held.received and now - held.sent_at > REPEAT_S:
                held.sent_at = now
                self._send(name, held.transfer)

    def give(
        self,
        message: messages.AskTransfer,
        until: float | None = None,
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
            state.shard.must_read = True
            self._let_stand(message, now + STANDING_S)
            return
        room = state.available(tables.holder) - self._own_need(message)
        tokens = min(message.tokens, room)
        if tokens <= 0:
            self._let_stand(
                message,
                now + STANDING_S if until is None else until,
            )
            return
        tables.seen_transfers[name] = now
        state.moved -= tokens
        transfer = ledger.Transfer(
            message.budget,
            tables.holder,
            message.receiver,
            tokens,
        )
        tables.transfers[name] = LocalTransfer(
            transfer,
            -tokens,
            in_ledger=False,
            received=False,
            sent_at=now,
        )
        self._context.events.record(
            'transfer_given',
            transfer=name,
            budget=message.budget,
            receiver=message.receiver,
            tokens=tokens,
        )
        self._send(name, transfer)

    def _let_stand(self, message: messages.AskTransfer, until: float) -> None:
        """Keep a question until there is money for it, or time runs out."""
        self._standing[message.budget, message.receiver] = (message, until)

    def give_standing(self) -> None:
        """Serve recent questions for which there was no money before."""
        now = self._context.clock.now()
        asks = self._standing
        self._standing = {}
        for message, until in asks.values():
            if now < until:
                self.give(message, until)

    def take(self, message: messages.TransferGrant) -> None:
        """Credit a transfer once and acknowledge every copy of it."""
        tables = self._tables
        if message.receiver != tables.holder:
            return
        known = message.transfer_id in tables.seen_transfers
        if message.giver in self._barred and not known:
            return
        now = self._context.clock.now()
        name = message.transfer_id
        if name not in tables.seen_transfers:
            tables.seen_transfers[name] = now
            state = tables.budget(message.budget, now)
            state.moved += message.tokens
            tables.transfers[name] = LocalTransfer(
                ledger.Transfer(
                    message.budget,
                    message.giver,
                    message.receiver,
                    message.tokens,
                ),
                message.tokens,
                in_ledger=False,
                received=True,
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

    def note_received(self, message: messages.TransferReceived) -> None:
        """Stop repeating a transfer."""
        held = self._tables.transfers.get(message.transfer_id)
        if held is not None:
            held.received = True

    def is_clear_of(self, giver: str) -> bool:
        """
        Return whether all money from a giver is in the ledger.

        The giver is being closed out: a transfer that it still sends is
        refused from then on, for its grant is given to others.
        """
        self._barred.add(giver)
        return not any(
            held.transfer.giver == giver and not held.in_ledger
            for held in self._tables.transfers.values()
        )

    def _own_need(self, message: messages.AskTransfer) -> int:
        """
        Return what waiting requests of this holder come first with.

        Of two holders that are both short, the one that is shorter yields,
        so that the parts come together in one place. One whose money would
        serve the asker's request whole yields too: it would otherwise keep
        for its own request what serves neither of them.
        """
        own = self._tables.holder
        needed = self._least_needs().get(message.budget, 0)
        state = self._tables.budget(
            message.budget,
            self._context.clock.now(),
        )
        room = state.available(own)
        short = needed - room
        if short > 0 and message.tokens <= room:
            return 0
        first = rank(message.budget, (own, message.receiver))[0]
        # The smaller need comes first: its request is served sooner.
        yields = message.tokens < short or first != own
        return 0 if yields and message.tokens <= short else needed

    def _least_needs(self) -> dict[str, int]:
        """
        Return the smallest waiting request by budget, in tokens.

        A large request that cannot be met must not keep from the small ones
        of other holders what would serve them.
        """
        needs: dict[str, int] = {}
        for row in self._tables.waiting.values():
            name = row.message.budget
            tokens = row.message.tokens
            needs[name] = min(tokens, needs.get(name, tokens))
        return needs

    def _givers(
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
        near = {
            holder
            for holder, other in shard.record.holders.items()
            if other.domain in domains
            and (other.domain != own.domain or node_of(holder) in live)
        }
        return sorted(
            near - {self._tables.holder},
            key=lambda holder: (-grants.get(holder, 0), holder),
        )

    def _ask(self, budget: str, short: int, givers: list[str]) -> None:
        """Ask the next holders of a budget."""
        state = self._tables.budget(budget, self._context.clock.now())
        for _ in givers[:ASKED_AT_ONCE]:
            giver = givers[state.asked % len(givers)]
            state.asked += 1
            self._count += 1
            self._context.outbox.send(
                node_of(giver),
                messages.AskTransfer(
                    f'{self._tables.holder}:{self._count}',
                    budget,
                    self._tables.holder,
                    short,
                ),
            )

    def _send(self, name: str, transfer: ledger.Transfer) -> None:
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
