"""
Reads and writes of ledger records.

The sequence number of a holder's last write, kept in the record, tells
whether a write whose answer was lost took effect.
"""

import functools
import itertools
from typing import Any

from fuchsiafork import messages
from fuchsiafork.budgets import ledger
from fuchsiafork.budgets.ledger_writes import HolderWrite, apply_write
from fuchsiafork.budgets.tables import HolderTables, Shard, UnconfirmedWrite
from fuchsiafork.budgets.transfers import (
    apply_counterpart_writes,
    complete_transfer,
)
from fuchsiafork.budgets.write_composer import WriteComposer, is_worth_writing
from fuchsiafork.kernel import Context, InvariantViolationError
from fuchsiafork.kernel import outbox as effects

MAX_RECORD_AGE_S = 5.0
# Settlements and transfers are collected for this long into one write.
WRITE_INTERVAL_S = 1.0
FORECAST_INTERVAL_S = 2.0
RETRY_DELAY_S = 0.25
STORE_TIMEOUT_S = 5.0
# A record that is younger is not read again for a queued request.
MIN_REREAD_AGE_S = 0.05


class LedgerSync:
    """
    Synchronizes the shards of one holder with the ledger.

    :ivar suspended: whether reservations, transfers and writes are suspended
        after a process pause.
    :ivar closed_out: whether a record shows that this holder is closed out.
    """

    def __init__(self, context: Context, tables: HolderTables) -> None:
        """Start without records."""
        self.suspended = False
        self.closed_out = False
        self._context = context
        self.composer = WriteComposer(context, tables)
        self._tables = tables
        self._tags = itertools.count(1)

    def reset(self, tables: HolderTables) -> None:
        """Switch to the tables of a new holder id."""
        self._tables = tables
        self.composer.reset(tables)
        self.closed_out = False

    def require_reread(self) -> None:
        """Require a new read of every record; ignore answers in transit."""
        for shard in self._tables.shards.values():
            shard.operation_tag = ''
            shard.needs_read = True
            shard.retry_at = 0

    @property
    def all_reread(self) -> bool:
        """Whether every required read has been answered."""
        return not any(
            shard.needs_read for shard in self._tables.shards.values()
        )

    def tick(self) -> None:
        """Start the due operation on each record."""
        for shard in list(self._tables.shards.values()):
            self.start_due_operation(shard)

    def start_due_operation(self, shard: Shard) -> None:
        """Start the due operation on a record, if any."""
        now = self._context.clock.now()
        if (
            shard.operation_tag
            and now - shard.operation_started_at > STORE_TIMEOUT_S
        ):
            self._schedule_retry(shard)
        if shard.operation_tag or now < shard.retry_at:
            return
        if shard.needs_read or now - shard.synced_at > MAX_RECORD_AGE_S:
            self._start_read(shard)
        elif not self.suspended and self._is_due(shard, now):
            self._start_write(shard)

    @functools.singledispatchmethod
    def handle_store_answer(self, message: Any) -> None:
        """Handle the answer of a store operation."""

    @handle_store_answer.register
    def _(self, message: effects.KeyRead) -> None:
        shard = self._finish_operation(message)
        if shard is not None:
            shard.needs_read = False
            self._apply_record(
                shard,
                ledger.decode_record(message.value),
                message.revision,
            )
            # A write right after its read is less likely to conflict.
            if not self.closed_out:
                self.start_due_operation(shard)

    @handle_store_answer.register
    def _(self, message: effects.SwapDone) -> None:
        shard = self._finish_operation(message)
        if shard is None:
            return
        sequence = int(message.tag.rpartition(':')[-1])
        unconfirmed_write = shard.unconfirmed_writes.get(sequence)
        if message.succeeded and unconfirmed_write is not None:
            self._apply_record(
                shard, unconfirmed_write.new_record, message.revision
            )
            return
        shard.unconfirmed_writes.pop(sequence, None)
        shard.needs_read = True
        shard.write_requested = True
        self.start_due_operation(shard)

    @handle_store_answer.register
    def _(self, message: effects.StoreFailed) -> None:
        shard = self._finish_operation(message)
        if shard is not None:
            if not message.outcome_unknown:
                sequence = message.tag.rpartition(':')[-1]
                shard.unconfirmed_writes.pop(int(sequence), None)
            self._schedule_retry(shard)

    def _finish_operation(self, message: effects.StoreAnswer) -> Shard | None:
        """End the operation that an answer is for and return its shard."""
        for shard in self._tables.shards.values():
            if shard.operation_tag == message.tag:
                shard.operation_tag = ''
                shard.store_failing = False
                return shard
        return None

    def _schedule_retry(self, shard: Shard) -> None:
        """Mark the store as failing and schedule a new read."""
        now = self._context.clock.now()
        shard.operation_tag = ''
        shard.store_failing = True
        shard.needs_read = True
        jitter = self._context.random.uniform(0.5, 1)
        shard.retry_at = now + RETRY_DELAY_S * jitter

    def _begin_operation(self, shard: Shard, kind: str, sequence: int) -> str:
        """Mark a shard as busy; return the tag of the new operation."""
        shard.operation_tag = f'budgets:{kind}:{next(self._tags)}:{sequence}'
        shard.operation_started_at = self._context.clock.now()
        return shard.operation_tag

    def _start_read(self, shard: Shard) -> None:
        """Start reading the record."""
        tag = self._begin_operation(shard, 'read', 0)
        self._context.outbox.store(effects.ReadKey(shard.key, tag))

    def _is_due(self, shard: Shard, now: float) -> bool:
        """Return whether a write to the record is due."""
        elapsed_s = now - shard.written_at
        if shard.write_requested or elapsed_s > FORECAST_INTERVAL_S:
            return True
        if elapsed_s < WRITE_INTERVAL_S:
            return False
        tables = self._tables
        budgets = [row.budget for row in tables.pending_settlements.values()]
        budgets.extend(
            local_transfer.transfer.budget
            for local_transfer in tables.transfers.values()
        )
        return any(tables.shard_of(name) is shard for name in budgets)

    def _start_write(self, shard: Shard) -> None:
        """Write pending changes; without any, refresh an outdated record."""
        write = self.composer.compose(shard)
        try:
            new_record = apply_write(shard.record, write)
        except InvariantViolationError as error:
            self._context.invariants.check(
                'ledger_within_prepaid',
                holds=False,
                reason=str(error),
            )
            self._schedule_retry(shard)
            return
        now = self._context.clock.now()
        shard.write_requested = False
        if not is_worth_writing(shard.record, new_record, write):
            shard.written_at = now
            if (
                now - shard.synced_at > MIN_REREAD_AGE_S
                and self._tables.waiting
            ):
                self._start_read(shard)
            return
        self._tables.sequence = write.sequence
        shard.written_at = now
        shard.unconfirmed_writes[write.sequence] = self._unconfirmed_write(
            shard, write, new_record
        )
        self._context.outbox.store(
            effects.CompareAndSwap(
                shard.key,
                shard.revision,
                ledger.encode_record(new_record),
                self._begin_operation(shard, 'swap', write.sequence),
            ),
        )

    def _unconfirmed_write(
        self,
        shard: Shard,
        write: HolderWrite,
        new_record: ledger.Record,
    ) -> UnconfirmedWrite:
        """Return the row of a write that is about to be started."""
        return UnconfirmedWrite(
            shard.revision,
            write,
            new_record,
            *self.composer.settled_and_transferred(write),
        )

    def _apply_record(
        self,
        shard: Shard,
        record: ledger.Record,
        revision: int,
    ) -> None:
        """Replace the local copy by a record that is in the ledger."""
        tables = self._tables
        row = record.holders.get(tables.holder)
        was_removed = shard.registered and row is None
        if was_removed or tables.holder in record.closed:
            self.closed_out = True
            return
        shard.registered = row is not None
        unconfirmed_write = (
            shard.unconfirmed_writes.pop(row.sequence, None) if row else None
        )
        shard.record = record
        shard.revision = revision
        shard.synced_at = self._context.clock.now()
        if unconfirmed_write is not None:
            self._complete_write(unconfirmed_write)
        # An unconfirmed write against this revision can still take effect.
        shard.unconfirmed_writes = {
            sequence: other
            for sequence, other in shard.unconfirmed_writes.items()
            if other.expected_revision == revision
        }
        apply_counterpart_writes(tables, shard, shard.synced_at)
        self._check_grants_cover_commitments(shard)

    def _check_grants_cover_commitments(self, shard: Shard) -> None:
        """Check that this holder's grants cover its commitments."""
        for state in self._tables.budgets.values():
            grant = state.granted(self._tables.holder) + state.net_transfers
            promised = state.reserved + state.unwritten_settlements
            if state.shard is shard:
                self._context.invariants.check(
                    'grant_covers_promises',
                    promised <= grant,
                    budget=state.name,
                    grant=grant,
                    promised=promised,
                )

    def _complete_write(self, unconfirmed_write: UnconfirmedWrite) -> None:
        """Acknowledge the settlements and transfers of a durable write."""
        tables = self._tables
        now = self._context.clock.now()
        for row in unconfirmed_write.write.settlements:
            if tables.pending_settlements.pop(row.request_id, None) is None:
                continue
            if row.holder == tables.holder:
                tables.budget(
                    row.budget, now
                ).unwritten_settlements -= row.tokens
            tables.completed_settlements[row.request_id, row.holder] = now
            self._context.outbox.send(
                row.router,
                messages.SettleAccepted(
                    row.request_id,
                    row.budget,
                    row.holder,
                    durable=True,
                ),
            )
        for name in unconfirmed_write.write.transfers:
            complete_transfer(tables, name, now)
