"""The keeper's part that holds money and promises it to requests."""

import functools
from typing import Any

from fuchsiafork import messages
from fuchsiafork.budgets import ledger
from fuchsiafork.budgets.closing import CloseOut
from fuchsiafork.budgets.pauses import PauseGuard
from fuchsiafork.budgets.queue import ReserveQueue
from fuchsiafork.budgets.recovery import AskTarget, Recovery
from fuchsiafork.budgets.routers import RouterWatch
from fuchsiafork.budgets.sync import LedgerSync
from fuchsiafork.budgets.tables import HolderTables
from fuchsiafork.budgets.transfers import TransferDesk
from fuchsiafork.budgets.writes import Settlement
from fuchsiafork.configuration import Document
from fuchsiafork.kernel import Context, System
from fuchsiafork.kernel import outbox as effects
from fuchsiafork.membership import MembershipSystem


class HolderSystem(System):
    """
    Reserves from this holder's grants and settles into the ledger.

    :ivar ask_target: called with request id, budget and target (empty if
        not known) for a request whose router died; the answer comes back
        as a ``TargetRecord``.
    """

    accepts = (
        messages.Reserve,
        messages.StartUse,
        messages.Settle,
        messages.AskTransfer,
        messages.TransferGrant,
        messages.TransferReceived,
        messages.OpenReservations,
        messages.AskClosedOut,
        messages.ClosedOutKnown,
        messages.AskTransfersWritten,
        messages.TransfersWritten,
        messages.TargetRecord,
    )

    def __init__(
        self,
        context: Context,
        membership: MembershipSystem,
        shards: int = ledger.DEFAULT_SHARDS,
    ) -> None:
        """Start without money."""
        super().__init__(context)
        self.tables = HolderTables(context.identity.holder, shards)
        self.sync = LedgerSync(context, self.tables)
        self._desk = TransferDesk(context, self.tables)
        self._routers = RouterWatch(context, membership)
        self._closing = CloseOut(
            context,
            self.tables,
            membership,
            self._routers,
            self._desk.is_clear_of,
        )
        self._queue = ReserveQueue(context, self.tables, membership)
        self._recovery = Recovery(context, self.tables, self._routers)
        self.sync.composer.plan_close = self._closing.plan
        self.sync.composer.is_lone = self._queue.is_lone
        self.sync.composer.is_base = self._is_base
        self._membership = membership
        self._renewals = 0
        self._pauses = PauseGuard(
            context,
            self.tables,
            membership,
            self.sync,
            self._closing,
        )

    @property
    def suspended(self) -> bool:
        """Whether spending has stopped after a pause."""
        return self.sync.suspended

    @property
    def ask_target(self) -> AskTarget:
        """What is called to ask for a target's record of a request."""
        return self._recovery.ask_target

    @ask_target.setter
    def ask_target(self, ask: AskTarget) -> None:
        """Set what asks for a target's record of a request."""
        self._recovery.ask_target = ask

    @property
    def holds_money(self) -> bool:
        """Whether the ledger, as last seen, has a grant of this holder."""
        return any(map(self.tables.has_grant, self.tables.shards.values()))

    def is_busy(self) -> bool:
        """Return whether requests hold, or wait for, money of this holder."""
        tables = self.tables
        return bool(tables.reservations or tables.waiting or tables.pending)

    def hand_back(self) -> None:
        """Return all money that is not promised, at the next writes."""
        self.sync.composer.leaving = True
        for shard in self.tables.shards.values():
            shard.urgent = True

    def configure(self, document: Document) -> None:
        """Open the budgets of a configuration."""
        now = self._context.clock.now()
        self.sync.composer.openings = {
            name: budget.opening_tokens
            for name, budget in document.budgets.items()
        }
        for name in self.sync.composer.openings:
            self.tables.budget(name, now)

    @functools.singledispatchmethod
    def handle(self, message: Any, sender: str) -> None:
        """Take one message."""

    @handle.register
    def _(self, message: messages.Reserve, sender: str) -> None:
        self._notice_pause()
        tables = self.tables
        name = message.request_id
        if name in tables.reservations:
            self._queue.confirm(tables.reservations[name])
            return
        settled = (name, tables.holder) in tables.done
        known = settled or name in tables.pending
        if known or name in tables.waiting:
            return
        self._routers.notice(sender)
        self._queue.add(message, sender)
        self._serve_waiting()
        if name in tables.waiting:
            shard = tables.shard_of(message.budget)
            shard.urgent = True
            self.sync.step(shard)

    @handle.register
    def _(self, message: messages.StartUse, sender: str) -> None:
        held = self.tables.reservations.get(message.request_id)
        if held is not None:
            held.target = message.target

    @handle.register
    def _(self, message: messages.Settle, sender: str) -> None:
        self._notice_pause()
        tables = self.tables
        name = message.request_id
        held = None
        if message.holder == tables.holder:
            held = tables.reservations.get(name)
        # A second holder may have reserved for the same request.
        done = (name, message.holder)
        tables.waiting.pop(name, None)
        if done not in tables.done and name not in tables.pending:
            bound = held.tokens if held else message.tokens
            settlement = Settlement(
                name,
                message.budget,
                message.holder,
                min(message.tokens, bound),
                message.key,
                sender,
            )
            tables.settle(settlement, self._context.clock.now())
            self._serve_waiting()
        self._context.outbox.send(
            sender,
            messages.SettleAccepted(
                name,
                message.budget,
                message.holder,
                durable=done in tables.done,
            ),
        )

    @handle.register
    def _(self, message: messages.AskTransfer, sender: str) -> None:
        self._notice_pause()
        if not self.suspended:
            self._desk.give(message)

    @handle.register
    def _(self, message: messages.TransferGrant, sender: str) -> None:
        self._desk.take(message)
        self._serve_waiting()

    @handle.register
    def _(self, message: messages.TransferReceived, sender: str) -> None:
        self._desk.note_received(message)

    @handle.register
    def _(self, message: messages.OpenReservations, sender: str) -> None:
        self._routers.note(message)
        self._closing.take_report(message)
        if message.holder == self.tables.holder:
            self._recovery.reconcile(message)

    @handle.register
    def _(self, message: messages.AskClosedOut, sender: str) -> None:
        self._context.outbox.send(
            sender,
            messages.ClosedOutKnown(
                self._context.identity.node,
                message.holder,
                message.number,
                self._closing.knows_closed(message.holder),
            ),
        )

    @handle.register
    def _(self, message: messages.ClosedOutKnown, sender: str) -> None:
        self._pauses.take_answer(message)

    @handle.register
    def _(self, message: messages.AskTransfersWritten, sender: str) -> None:
        own = message.receiver == self.tables.holder
        if own and self._desk.is_clear_of(message.giver):
            self._context.outbox.send(
                sender,
                messages.TransfersWritten(message.giver, message.receiver),
            )

    @handle.register
    def _(self, message: messages.TransfersWritten, sender: str) -> None:
        self._closing.take_written(message)

    @handle.register
    def _(self, message: messages.TargetRecord, sender: str) -> None:
        self._recovery.take_record(message)

    @handle.register(effects.KeyRead)
    @handle.register(effects.SwapDone)
    @handle.register(effects.StoreFailed)
    def _(self, message: effects.StoreAnswer, sender: str) -> None:
        self._notice_pause()
        self.sync.answer(message)
        if self.sync.closed_out:
            self._renew()
        self._serve_waiting()

    def tick(self) -> None:
        """Do what is due by the clock."""
        self._notice_pause()
        now = self._context.clock.now()
        self._pauses.tick()
        self._serve_waiting()
        self._queue.refuse_late(suspended=self.suspended)
        self._routers.tick(self.tables.holder, self._closing.awake_since)
        self._closing.tick()
        self._recovery.ask_targets()
        self.sync.tick()
        if not self.suspended:
            reachable = set(self._membership.domains())
            self._desk.tick(reachable, set(self._membership.live()))
        self.tables.forget_old(now)

    def _notice_pause(self) -> None:
        """Stop spending when this process stood still for too long."""
        self._pauses.notice()

    def _renew(self) -> None:
        """Drop all money and go on under a new holder id."""
        now = self._context.clock.now()
        self._context.events.record(
            'holder_closed_out',
            holder=self.tables.holder,
        )
        self._renewals += 1
        first = self._context.identity.holder
        old = self.tables
        self.tables = HolderTables(
            f'{first}+{self._renewals}',
            old.shard_count,
        )
        self.tables.waiting = old.waiting
        for name in old.budgets:
            self.tables.budget(name, now)
        self.sync.reset(self.tables)
        self._desk.reset(self.tables)
        self._closing.reset(self.tables)
        self._queue.reset(self.tables)
        self._recovery.reset(self.tables)
        self._pauses.reset(self.tables)

    def _is_base(self, budget: str) -> bool:
        """Return whether this keeper is the domain's first for a budget."""
        node = self._context.identity.node
        return self._membership.ranked_keepers(f'budget:{budget}')[0] == node

    def _serve_waiting(self) -> None:
        """Reserve for the waiting requests that fit, then serve others."""
        if not self.suspended:
            self._queue.serve()
            self._desk.give_standing()
