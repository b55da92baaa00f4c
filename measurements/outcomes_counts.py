"""Counts over a finished world, from its targets, callers and ledger."""

import collections
from typing import Any

from fuchsiafork.router.request_ids import incarnation_of
from measurements.outcomes_callers import Operation
from measurements.outcomes_fakes import count_by_cause
from measurements.outcomes_router import base_of
from measurements.outcomes_world import World

_BY_OPERATION = (
    'answered',
    'billed_twice',
    'billed_never',
    'billed_other_tokens',
    'non_idempotent_reruns',
    'untrue_not_run',
    'last_told_not_run',
    'truncated_answers',
    'crossed_answers',
)


class Tally:
    """Executions and bills by operation and by request."""

    def __init__(self, world: World) -> None:
        """Read the targets' executions and the ledger's bills."""
        self.executions = [
            execution
            for target in world.targets.values()
            for execution in target.executions
        ]
        self.runs = collections.Counter(
            execution.operation for execution in self.executions
        )
        self.by_request = collections.Counter(
            base_of(execution.request_id) for execution in self.executions
        )
        self.used: dict[str, set[int]] = collections.defaultdict(set)
        names: dict[str, str] = {}
        for execution in self.executions:
            name = execution.operation
            names[base_of(execution.request_id)] = name
            self.used[name].add(execution.tokens)
        self.bills: dict[str, list[int]] = collections.defaultdict(list)
        for reservation_id, tokens in world.ledger.bills.values():
            name = names.get(base_of(reservation_id), '')
            self.bills[name].append(tokens)

    def of(self, op: Operation) -> dict[str, int]:
        """Return what went wrong with one operation."""
        billed = self.bills[op.name]
        executed = self.runs[op.name]
        # A non-idempotent call is paid for once it took effect.
        owes = op.answered or (not op.idempotent and executed > 0)
        refused = [row[0] for row in op.tries if row[1] == 'not_run']
        return {
            'answered': op.answered,
            'billed_twice': bool(op.key) and len(billed) > 1,
            'billed_never': owes and not billed,
            'billed_other_tokens': self._is_misbilled(op),
            'non_idempotent_reruns': not op.idempotent and executed > 1,
            'untrue_not_run': any(self.by_request[run] for run in refused),
            'untrue_not_run_by_key': bool(refused)
            and executed > 0
            and not op.answered,
            'truncated_answers': op.truncated,
            'crossed_answers': op.crossed,
        }

    def _is_last_told_not_run(self, op: Operation) -> bool:
        """
        Return whether the last refusal says not run of a call that ran.

        The run belonged to another request of the key, so the refusal is
        true; the caller must still not conclude that the call never ran.
        """
        if op.answered or not op.tries:
            return False
        return op.tries[-1][1] == 'not_run' and self.runs[op.name] > 0

    def _is_misbilled(self, op: Operation) -> bool:
        """
        Return whether more was billed than any one run used.

        An operation that took one run and one request is billed exactly what
        that run used, or the bound at which it was cut.
        """
        most = max(self.used[op.name], default=0)
        billed = self.bills[op.name]
        if op.answered and op.attempts == 1 and self.runs[op.name] == 1:
            return billed != [min(most, op.bound)]
        return any(tokens > most for tokens in billed)


def count(world: World) -> dict[str, Any]:
    """Return the counts of what must never happen, and of its causes."""
    tally = Tally(world)
    totals: collections.Counter[str] = collections.Counter()
    for op in world.operations:
        totals.update(tally.of(op))
    tries = [row for done in world.operations for row in done.tries]
    states = collections.Counter(str(row[1]) for row in tries)
    codes = collections.Counter(str(row[2]) for row in tries)
    return {
        'requests': len(world.operations),
        **{name: int(totals[name]) for name in _BY_OPERATION},
        'billed_without_run': len(tally.bills['']),
        'slots_left': _count_slots(world),
        'reservations_left': len(world.ledger.open),
        'grants_taken_back': world.ledger.taken_back,
        'executions': len(tally.executions),
        'duplicates_not_billed': len(world.ledger.duplicates),
        'refused': dict(sorted(states.items())),
        'refused_by_code': dict(sorted(codes.items())),
        'target_faults': count_by_cause(world.targets),
        'faults': dict(sorted(world.faults_made.items())),
        'store_writes': world.store.calls['write'],
        'store_reads': world.store.calls['read'],
    }


def _count_slots(world: World) -> int:
    """Return the open slots of live starts of routers."""
    live = {router.start for router in world.routers.values()}
    return sum(1 for slot_id in world.slots if incarnation_of(slot_id) in live)
