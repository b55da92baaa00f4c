"""The keeper system that holds grants and reserves tokens from them."""

import functools
from typing import Any

from fuchsiafork import messages
from fuchsiafork.budgets import ledger
from fuchsiafork.budgets.close_out import CloseOutManager
from fuchsiafork.budgets.ledger_sync import LedgerSync
from fuchsiafork.budgets.ledger_writes import Settlement
from fuchsiafork.budgets.pause_guard import PauseGuard
from fuchsiafork.budgets.recovery import OrphanRecovery, TargetQuery
from fuchsiafork.budgets.reserve_queue import ReserveQueue
from fuchsiafork.budgets.router_monitor import RouterMonitor
from fuchsiafork.budgets.tables import HolderTables
from fuchsiafork.budgets.transfers import TransferManager
from fuchsiafork.configuration import Document
from fuchsiafork.kernel import Context, System
from fuchsiafork.kernel import outbox as effects
from fuchsiafork.membership import MembershipSystem


class HolderSystem(System):
    """
    Reserves tokens from this holder's grants and settles into the ledger.

    :ivar query_target: called with request id, budget and target (empty if
        unknown) for a request whose router died; the answer arrives as a
        ``TargetRecord``.
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
        """Start without grants or reservations."""
        super().__init__(context)
        self.tables = HolderTables(context.identity.holder, shards)
        self.ledger_sync = LedgerSync(context, self.tables)
        self._transfer_manager = TransferManager(context, self.tables)
        self._router_monitor = RouterMonitor(context, membership)
        self._close_out = CloseOutManager(
            context,
            self.tables,
            membership,
            self._router_monitor,
            self._transfer_manager.fence_giver,
        )
        self._queue = ReserveQueue(context, self.tables, membership)
        self._recovery = OrphanRecovery(
            context, self.tables, self._router_monitor
        )
        self.ledger_sync.composer.plan_close_outs = (
            self._close_out.plan_close_outs
        )
        self.ledger_sync.composer.serves_local_routers = (
            self._queue.serves_local_routers
        )
        self.ledger_sync.composer.is_domain_primary = self._is_domain_primary
        self._membership = membership
        self._renewal_count = 0
        self._pause_guard = PauseGuard(
            context,
            self.tables,
            membership,
            self.ledger_sync,
            self._close_out,
        )

    @property
    def suspended(self) -> bool:
        """Whether reservations are suspended after a process pause."""
        return self.ledger_sync.suspended

    @property
    def query_target(self) -> TargetQuery:
        """Callback that requests a target's record of a request."""
        return self._recovery.query_target

    @query_target.setter
    def query_target(self, query: TargetQuery) -> None:
        """Set the callback that requests a target's record of a request."""
        self._recovery.query_target = query

    @property
    def holds_grants(self) -> bool:
        """Whether the last read ledger has a grant of this holder."""
        return any(map(self.tables.has_grant, self.tables.shards.values()))

    def is_busy(self) -> bool:
        """Return whether any request still depends on this holder's tokens."""
        tables = self.tables
        return bool(
            tables.reservations or tables.waiting or tables.pending_settlements
        )

    def return_grants(self) -> None:
        """Return all tokens that are not committed, with the next writes."""
        self.ledger_sync.composer.leaving = True
        for shard in self.tables.shards.values():
            shard.write_requested = True

    def configure(self, document: Document) -> None:
        """Set up the budgets of a configuration."""
        now = self._context.clock.now()
        self.ledger_sync.composer.openings = {
            name: budget.opening_tokens
            for name, budget in document.budgets.items()
        }
        for name in self.ledger_sync.composer.openings:
            self.tables.budget(name, now)

    @functools.singledispatchmethod
    def handle(self, message: Any, sender: str) -> None:
        """Handle one message."""

    @handle.register
    def _(self, message: messages.Reserve, sender: str) -> None:
        self._check_for_pause()
        tables = self.tables
        name = message.request_id
        if name in tables.reservations:
            self._queue.send_reserved(tables.reservations[name])
            return
        settled = (name, tables.holder) in tables.completed_settlements
        is_known = settled or name in tables.pending_settlements
        if is_known or name in tables.waiting:
            return
        self._router_monitor.record_activity(sender)
        self._queue.add(message, sender)
        self._serve_waiting()
        if name in tables.waiting:
            shard = tables.shard_of(message.budget)
            shard.write_requested = True
            self.ledger_sync.start_due_operation(shard)

    @handle.register
    def _(self, message: messages.StartUse, sender: str) -> None:
        reservation = self.tables.reservations.get(message.request_id)
        if reservation is not None:
            reservation.target = message.target

    @handle.register
    def _(self, message: messages.Settle, sender: str) -> None:
        self._check_for_pause()
        tables = self.tables
        name = message.request_id
        reservation = None
        if message.holder == tables.holder:
            reservation = tables.reservations.get(name)
        # Another holder may have reserved for the same request, so the id of
        # a settlement contains the holder.
        settlement_id = (name, message.holder)
        tables.waiting.pop(name, None)
        if (
            settlement_id not in tables.completed_settlements
            and name not in tables.pending_settlements
        ):
            limit = reservation.tokens if reservation else message.tokens
            settlement = Settlement(
                name,
                message.budget,
                message.holder,
                min(message.tokens, limit),
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
                durable=settlement_id in tables.completed_settlements,
            ),
        )

    @handle.register
    def _(self, message: messages.AskTransfer, sender: str) -> None:
        self._check_for_pause()
        if not self.suspended:
            self._transfer_manager.serve_request(message)

    @handle.register
    def _(self, message: messages.TransferGrant, sender: str) -> None:
        self._transfer_manager.accept(message)
        self._serve_waiting()

    @handle.register
    def _(self, message: messages.TransferReceived, sender: str) -> None:
        self._transfer_manager.record_acknowledgement(message)

    @handle.register
    def _(self, message: messages.OpenReservations, sender: str) -> None:
        self._router_monitor.record_report(message)
        self._close_out.record_report(message)
        if message.holder == self.tables.holder:
            self._recovery.drop_unknown(message)

    @handle.register
    def _(self, message: messages.AskClosedOut, sender: str) -> None:
        self._context.outbox.send(
            sender,
            messages.ClosedOutKnown(
                self._context.identity.node,
                message.holder,
                message.number,
                self._close_out.is_closed_or_closing(message.holder),
            ),
        )

    @handle.register
    def _(self, message: messages.ClosedOutKnown, sender: str) -> None:
        self._pause_guard.record_answer(message)

    @handle.register
    def _(self, message: messages.AskTransfersWritten, sender: str) -> None:
        is_receiver = message.receiver == self.tables.holder
        if is_receiver and self._transfer_manager.fence_giver(message.giver):
            self._context.outbox.send(
                sender,
                messages.TransfersWritten(message.giver, message.receiver),
            )

    @handle.register
    def _(self, message: messages.TransfersWritten, sender: str) -> None:
        self._close_out.record_written(message)

    @handle.register
    def _(self, message: messages.TargetRecord, sender: str) -> None:
        self._recovery.settle_from_record(message)

    @handle.register(effects.KeyRead)
    @handle.register(effects.SwapDone)
    @handle.register(effects.StoreFailed)
    def _(self, message: effects.StoreAnswer, sender: str) -> None:
        self._check_for_pause()
        self.ledger_sync.handle_store_answer(message)
        if self.ledger_sync.closed_out:
            self._restart_as_new_holder()
        self._serve_waiting()

    def tick(self) -> None:
        """Run all periodic work."""
        self._check_for_pause()
        now = self._context.clock.now()
        self._pause_guard.tick()
        self._serve_waiting()
        self._queue.refuse_overdue(suspended=self.suspended)
        self._router_monitor.tick(
            self.tables.holder, self._close_out.running_since
        )
        self._close_out.tick()
        self._recovery.query_targets()
        self.ledger_sync.tick()
        if not self.suspended:
            reachable = set(self._membership.domains())
            self._transfer_manager.tick(reachable, set(self._membership.live()))
        self.tables.drop_expired(now)

    def _check_for_pause(self) -> None:
        """Suspend reservations if this process was paused for too long."""
        self._pause_guard.check()

    def _restart_as_new_holder(self) -> None:
        """Drop all grants and continue under a new holder id."""
        now = self._context.clock.now()
        self._context.events.record(
            'holder_closed_out',
            holder=self.tables.holder,
        )
        self._renewal_count += 1
        original_id = self._context.identity.holder
        previous = self.tables
        self.tables = HolderTables(
            f'{original_id}+{self._renewal_count}',
            previous.shard_count,
        )
        self.tables.waiting = previous.waiting
        for name in previous.budgets:
            self.tables.budget(name, now)
        self.ledger_sync.reset(self.tables)
        self._transfer_manager.reset(self.tables)
        self._close_out.reset(self.tables)
        self._queue.reset(self.tables)
        self._recovery.reset(self.tables)
        self._pause_guard.reset(self.tables)

    def _is_domain_primary(self, budget: str) -> bool:
        """Return whether this keeper is its domain's primary for a budget."""
        node = self._context.identity.node
        return self._membership.ranked_keepers(f'budget:{budget}')[0] == node

    def _serve_waiting(self) -> None:
        """Reserve for queued requests, then serve other holders' requests."""
        if not self.suspended:
            self._queue.serve()
            self._transfer_manager.serve_pending_requests()
