"""Reads and writes of the ledger, with lost answers resolved by sequence."""

import functools
import itertools
from typing import Any

from fuchsiafork import messages
from fuchsiafork.budgets import ledger
from fuchsiafork.budgets.composing import WriteComposer, differs
from fuchsiafork.budgets.tables import Attempt, HolderTables, Shard
from fuchsiafork.budgets.transfers import adopt_transfers, resolve_transfer
from fuchsiafork.budgets.writes import HolderWrite, apply_write
from fuchsiafork.kernel import Context, InvariantViolationError
from fuchsiafork.kernel import outbox as effects

READ_INTERVAL_S = 5.0
# Settlements and forecasts are collected this long into one write.
WRITE_INTERVAL_S = 1.0
RATE_INTERVAL_S = 2.0
RETRY_S = 0.25
ANSWER_LIMIT_S = 5.0
# A record read this recently is not read again for a waiting request.
FRESH_S = 0.05


class LedgerSync:
    """Keeps the shards of one holder in step with the ledger."""

    def __init__(self, context: Context, tables: HolderTables) -> None:
        """Start without any record."""
        self.suspended = False
        self.closed_out = False
        self._context = context
        self.composer = WriteComposer(context, tables)
        self._tables = tables
        self._tags = itertools.count(1)

    def reset(self, tables: HolderTables) -> None:
        """Go on under a new holder id."""
        self._tables = tables
        self.composer.reset(tables)
        self.closed_out = False

    def verify(self) -> None:
        """Read every record again and take no older answer for it."""
        for shard in self._tables.shards.values():
            shard.busy = ''
            shard.must_read = True
            shard.retry_at = 0

    @property
    def verified(self) -> bool:
        """Whether every record was read since it had to be."""
        return not any(
            shard.must_read for shard in self._tables.shards.values()
        )

    def tick(self) -> None:
        """Start the operation that is due on each record."""
        for shard in list(self._tables.shards.values()):
            self.step(shard)

    def step(self, shard: Shard) -> None:
        """Start the operation that is due on a record, if any."""
        now = self._context.clock.now()
        if shard.busy and now - shard.busy_since > ANSWER_LIMIT_S:
            self._fail(shard)
        if shard.busy or now < shard.retry_at:
            return
        if shard.must_read or now - shard.synced_at > READ_INTERVAL_S:
            self._read(shard)
        elif not self.suspended and self._is_due(shard, now):
            self._write(shard)

    @functools.singledispatchmethod
    def answer(self, message: Any) -> None:
        """Take the answer of a store operation."""

    @answer.register
    def _(self, message: effects.KeyRead) -> None:
        shard = self._answered(message)
        if shard is not None:
            shard.must_read = False
            self._adopt(
                shard,
                ledger.decode_record(message.value),
                message.revision,
            )
            # The sooner the write follows its read, the fewer collide.
            if not self.closed_out:
                self.step(shard)

    @answer.register
    def _(self, message: effects.SwapDone) -> None:
        shard = self._answered(message)
        if shard is None:
            return
        sequence = int(message.tag.rpartition(':')[-1])
        attempt = shard.attempts.get(sequence)
        if message.succeeded and attempt is not None:
            self._adopt(shard, attempt.after, message.revision)
            return
        shard.attempts.pop(sequence, None)
        shard.must_read = True
        shard.urgent = True
        self.step(shard)

    @answer.register
    def _(self, message: effects.StoreFailed) -> None:
        shard = self._answered(message)
        if shard is not None:
            if not message.outcome_unknown:
                sequence = message.tag.rpartition(':')[-1]
                shard.attempts.pop(int(sequence), None)
            self._fail(shard)

    def _answered(self, message: effects.StoreAnswer) -> Shard | None:
        """Return the shard whose open operation an answer ends."""
        for shard in self._tables.shards.values():
            if shard.busy == message.tag:
                shard.busy = ''
                shard.failing = False
                return shard
        return None

    def _fail(self, shard: Shard) -> None:
        """Note that the store gave no answer."""
        now = self._context.clock.now()
        shard.busy = ''
        shard.failing = True
        shard.must_read = True
        jitter = self._context.random.uniform(0.5, 1)
        shard.retry_at = now + RETRY_S * jitter

    def _start(self, shard: Shard, kind: str, sequence: int) -> str:
        """Return the tag of a new operation on a shard."""
        shard.busy = f'budgets:{kind}:{next(self._tags)}:{sequence}'
        shard.busy_since = self._context.clock.now()
        return shard.busy

    def _read(self, shard: Shard) -> None:
        """Ask for the record."""
        tag = self._start(shard, 'read', 0)
        self._context.outbox.store(effects.ReadKey(shard.key, tag))

    def _is_due(self, shard: Shard, now: float) -> bool:
        """Return whether there is something to write."""
        since = now - shard.written_at
        if shard.urgent or since > RATE_INTERVAL_S:
            return True
        if since < WRITE_INTERVAL_S:
            return False
        tables = self._tables
        budgets = [row.budget for row in tables.pending.values()]
        budgets.extend(
            held.transfer.budget for held in tables.transfers.values()
        )
        return any(tables.shard_of(name) is shard for name in budgets)

    def _write(self, shard: Shard) -> None:
        """Try to write what has come together, or read a stale record."""
        write = self.composer.compose(shard)
        try:
            after = apply_write(shard.record, write)
        except InvariantViolationError as error:
            self._context.invariants.check(
                'ledger_within_prepaid',
                holds=False,
                reason=str(error),
            )
            self._fail(shard)
            return
        now = self._context.clock.now()
        shard.urgent = False
        if not differs(shard.record, after, write):
            shard.written_at = now
            if now - shard.synced_at > FRESH_S and self._tables.waiting:
                self._read(shard)
            return
        self._tables.sequence = write.sequence
        shard.written_at = now
        shard.attempts[write.sequence] = self._attempt(shard, write, after)
        self._context.outbox.store(
            effects.CompareAndSwap(
                shard.key,
                shard.revision,
                ledger.encode_record(after),
                self._start(shard, 'swap', write.sequence),
            ),
        )

    def _attempt(
        self,
        shard: Shard,
        write: HolderWrite,
        after: ledger.Record,
    ) -> Attempt:
        """Return the row of a write that is about to be sent."""
        return Attempt(shard.revision, write, after, *self.composer.sums(write))

    def _adopt(
        self,
        shard: Shard,
        record: ledger.Record,
        revision: int,
    ) -> None:
        """Take over a record that is known to be in the ledger."""
        tables = self._tables
        row = record.holders.get(tables.holder)
        lost = shard.registered and row is None
        if lost or tables.holder in record.closed:
            self.closed_out = True
            return
        shard.registered = row is not None
        attempt = shard.attempts.pop(row.sequence, None) if row else None
        shard.record = record
        shard.revision = revision
        shard.synced_at = self._context.clock.now()
        if attempt is not None:
            self._resolve(attempt)
        # An older write at this very revision can still take effect.
        shard.attempts = {
            sequence: other
            for sequence, other in shard.attempts.items()
            if other.base == revision
        }
        adopt_transfers(tables, shard, shard.synced_at)
        self._check_promises(shard)

    def _check_promises(self, shard: Shard) -> None:
        """Check that this holder's grants cover what it has promised."""
        for state in self._tables.budgets.values():
            grant = state.granted(self._tables.holder) + state.moved
            promised = state.reserved + state.unwritten
            if state.shard is shard:
                self._context.invariants.check(
                    'grant_covers_promises',
                    promised <= grant,
                    budget=state.name,
                    grant=grant,
                    promised=promised,
                )

    def _resolve(self, attempt: Attempt) -> None:
        """Note what a write that took effect has made durable."""
        tables = self._tables
        now = self._context.clock.now()
        for row in attempt.write.settlements:
            if tables.pending.pop(row.request_id, None) is None:
                continue
            if row.holder == tables.holder:
                tables.budget(row.budget, now).unwritten -= row.tokens
            tables.done[row.request_id, row.holder] = now
            self._context.outbox.send(
                row.router,
                messages.SettleAccepted(
                    row.request_id,
                    row.budget,
                    row.holder,
                    durable=True,
                ),
            )
        for name in attempt.write.transfers:
            resolve_transfer(tables, name, now)
