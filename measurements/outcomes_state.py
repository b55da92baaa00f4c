"""What bindings and claims cost in memory and in store writes."""

import hashlib
import tracemalloc
from typing import Any

from fuchsiafork import messages
from fuchsiafork.outcomes import Binding, BindingTable, Claim, State
from fuchsiafork.outcomes.claims import claim_key

_ROWS = 2000


def measure_state() -> dict[str, Any]:
    """Return bytes per completed binding and per claim."""
    claim = Claim('a-1.router.0123456789ab~1234', _digest('f'), 1.8e9, 120.0)
    stored = len(claim_key(_digest('k'))) + len(claim.encode())
    return {
        'bytes_per_binding': _bytes_per_binding(0),
        'bytes_per_binding_with_1_kib_answer': _bytes_per_binding(1024),
        'bytes_per_claim': stored,
    }


def _bytes_per_binding(answer_bytes: int) -> int:
    """Return the memory of one completed row with its answer."""
    tracemalloc.start()
    table = BindingTable()
    before, _ = tracemalloc.get_traced_memory()
    for number in range(_ROWS):
        _fill(table, number, answer_bytes)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return round((after - before) / _ROWS)


def _fill(table: BindingTable, number: int, answer_bytes: int) -> None:
    """Add one completed binding, with strings of its own as from a link."""
    key = _digest(f'k{number}')
    request_id = f'a-1.router.0123456789ab~{number}'
    outcome = messages.RecordOutcome(
        request_id=request_id,
        key=key,
        fingerprint=_digest(f'f{number}'),
        idempotent=True,
        state='done',
        status=200,
        content_type='application/json',
        body=bytes(answer_bytes),
        replayable=True,
        version='v1',
    )
    row = Binding(
        key=key,
        fingerprint=outcome.fingerprint,
        idempotent=True,
        request_id=request_id,
        router=f'a-{number}/router',
        state=State.RUNNING,
        expires_at=0,
    )
    table.add(row)
    table.complete(row, State.DONE, float(number), outcome)


def _digest(text: str) -> str:
    """Return a digest as routers make them."""
    return hashlib.sha256(text.encode()).hexdigest()
