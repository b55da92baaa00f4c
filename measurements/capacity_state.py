"""Bytes of state by table row, and of the ledger record."""

import dataclasses
import gc
import random
import tracemalloc
from collections.abc import Callable, Iterator
from typing import Any

from fuchsiafork import budgets, messages
from fuchsiafork.configuration import document as models
from fuchsiafork.outcomes.bindings import Binding, BindingTable, State
from fuchsiafork.router.directory import Directory
from measurements.budgets_record import record_bytes
from measurements.capacity_fit import Series, measure
from measurements.capacity_nodes import LoneKeeper, add_members

_GRANT_BUDGETS = 200

Build = Callable[[int], Any]


def state_series(seed: int) -> Iterator[Series]:
    """Yield the series of bytes."""
    chance = random.Random(seed)
    tables: tuple[tuple[str, tuple[int, ...], Build], ...] = (
        ('budget', (400, 800, 1600), _budgets),
        ('grant', (2, 4, 8), _grants),
        ('account', (500, 1000, 2000), _accounts),
        ('target', (16, 32, 64), _targets),
        ('peer', (50, 100, 200), _peers),
        ('binding', (500, 1000, 2000), _Bindings(chance, 0).build),
        ('binding_4k', (200, 400, 800), _Bindings(chance, 4096).build),
    )
    for name, sizes, build in tables:
        yield measure(
            f'state_{name}',
            f'bytes/{name}',
            sizes,
            lambda size, build=build, name=name: (  # type: ignore[misc]
                _held(build, size) / (_GRANT_BUDGETS if name == 'grant' else 1)
            ),
        )
    yield from _record_series()


def _record_series() -> Iterator[Series]:
    """Yield the sizes of an encoded ledger record."""
    yield measure(
        'record_budget',
        'bytes/budget',
        (100, 200, 400),
        lambda size: record_bytes(size, 0, 0),
    )
    base = record_bytes(100, 0, 0)
    yield measure(
        'record_holder',
        'bytes/(budget and holder)',
        (2, 4, 8),
        lambda size: (record_bytes(100, size, 0) - base) / 100,
    )
    yield measure(
        'record_writer',
        'bytes/holder of a record',
        (50, 100, 200),
        lambda size: record_bytes(0, size, 0),
    )
    yield measure(
        'record_key',
        'bytes/settled key',
        (1000, 2000, 4000),
        lambda size: record_bytes(0, 0, size),
    )


def _held(build: Build, size: int) -> float:
    """Return the bytes that a built table keeps."""
    kept: Any = None
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = build(size)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return after - before


def budget_document(count: int) -> models.Document:
    """Return a document with budgets only."""
    return models.Document(
        budgets={
            f'account-{number:06}': models.Budget(
                owner='sales',
                opening_tokens=1_000_000,
            )
            for number in range(count)
        },
    )


def target_document(count: int) -> models.Document:
    """Return a document with one model's targets of one failure domain."""
    return models.Document(
        pools={'assistant': models.Pool(owner='p', kind=models.Kind.ENGINE)},
        versions={'v1': models.Version(owner='p', pool='assistant')},
        routes={
            'assistant': models.Route(
                owner='p',
                pool='assistant',
                version='v1',
            ),
        },
        targets={
            f'engine-{number:03}': models.Target(
                owner='p',
                url=f'http://10.1.0.{number}:80',
                domain='delta-a',
                version='v1',
                capacity=64,
            )
            for number in range(count)
        },
    )


def _budgets(count: int) -> LoneKeeper:
    """Return a keeper that is the base holder of budgets."""
    keeper = LoneKeeper()
    keeper.configure(budget_document(count))
    for _ in range(30):
        keeper.step()
    keeper.store.rows.clear()
    keeper.store.history.clear()
    return keeper


def _grants(count: int) -> budgets.Record:
    """Return a mirrored record whose budgets have so many holders."""
    record = budgets.Record()
    holders = [f'delta-a-{one:03}/keeper#1a2b3c4d' for one in range(count)]
    for number in range(_GRANT_BUDGETS):
        row = budgets.BudgetRow(1_000_000 * count, opened=True)
        row.grants = dict.fromkeys(holders, 1_000_000)
        row.rates = dict.fromkeys(holders, 1000)
        record.budgets[f'account-{number:06}'] = row
    return budgets.decode_record(budgets.encode_record(record))


def _accounts(count: int) -> Directory:
    """Return a router's directory of client accounts."""
    accounts = {
        f'account-{number:06}': models.Account(
            owner='sales',
            budget=f'account-{number:06}',
            token_sha256=f'{number:064x}',
        )
        for number in range(count)
    }
    return Directory(models.Document(accounts=accounts), 1, 'delta-a')


def _targets(count: int) -> LoneKeeper:
    """Return a keeper that owns all targets of a failure domain."""
    keeper = LoneKeeper()
    keeper.configure(target_document(count))
    for _ in range(80):
        keeper.step()
    return keeper


def _peers(count: int) -> LoneKeeper:
    """Return a keeper with peers."""
    keeper = LoneKeeper()
    add_members(keeper.systems, count)
    return keeper


@dataclasses.dataclass(frozen=True, slots=True)
class _Bindings:
    """Builds tables of completed keys with answers of a size."""

    chance: random.Random
    body: int

    def build(self, count: int) -> BindingTable:
        """Return a table of completed keys."""
        table = BindingTable()
        for number in range(count):
            row = Binding(
                key=f'{self.chance.getrandbits(256):064x}',
                fingerprint=f'{self.chance.getrandbits(256):064x}',
                idempotent=True,
                request_id=f'delta-a-000.router.1a2b3c4d-{number}',
                router='delta-a-000/router',
                state=State.RUNNING,
                expires_at=0,
            )
            table.add(row)
            table.complete(row, State.DONE, 0, _outcome(row, self.body))
        return table


def _outcome(row: Binding, body: int) -> messages.RecordOutcome:
    """Return the outcome of a key."""
    return messages.RecordOutcome(
        request_id=row.request_id,
        key=row.key,
        fingerprint=row.fingerprint,
        idempotent=True,
        state='done',
        status=200,
        content_type='application/json',
        body=bytes(body),
        replayable=True,
        version='v1',
    )
