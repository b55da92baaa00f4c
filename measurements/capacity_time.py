"""Processor time of ticks, messages and configuration changes."""

import datetime as dt
import random
import time
from collections.abc import Callable, Iterator
from typing import Any

from fuchsiafork import messages
from fuchsiafork.configuration import document as models
from fuchsiafork.configuration import parse_document
from fuchsiafork.configuration.parsing import check_rules
from fuchsiafork.kernel.hlc import Stamp
from fuchsiafork.messages import decode, encode
from fuchsiafork.outcomes.bindings import Binding, State
from measurements.capacity_fit import Series, measure
from measurements.capacity_nodes import REPEATS, TICK_S, LoneKeeper
from measurements.capacity_state import budget_document, target_document

DOMAIN_PEERS = 59
_STAMP = Stamp(1_800_000_000_000, 7, 'delta-a-001/keeper')
_MICRO = 1e6
# 8 s: several writes, heartbeats and reports fall into them.
_TICKS = 80


def time_series(seed: int) -> Iterator[Series]:
    """Yield the series of processor time, in microseconds."""
    yield from _tick_series(seed)
    yield from _message_series()
    yield from _configuration_series()


def micros(action: Callable[[], Any], times: int) -> float:
    """Return the least processor microseconds of an action."""
    return min(_seconds(action, times) for _ in range(REPEATS)) * _MICRO


def _seconds(action: Callable[[], Any], times: int) -> float:
    """Return the processor seconds of an action."""
    started = time.process_time()
    for _ in range(times):
        action()
    return (time.process_time() - started) / times


def _tick_series(seed: int) -> Iterator[Series]:
    """Yield the time of a keeper's tick by the rows of each table."""
    builds: tuple[tuple[str, tuple[int, ...], Callable[[int], Any]], ...] = (
        ('budget', (64, 128, 256), _with_budgets),
        ('member', (15, 30, 60), LoneKeeper),
        ('target', (32, 64, 128), _with_targets),
        ('binding', (500, 1000, 2000), lambda n: _with_bindings(n, seed)),
        ('rollout', (16, 64, 128), _with_rollouts),
    )
    for name, sizes, build in builds:
        yield measure(
            f'tick_{name}',
            f'us/tick and {name}',
            sizes,
            lambda size, build=build: (  # type: ignore[misc]
                build(size).tick_seconds(_TICKS) * _MICRO
            ),
        )


def _with_budgets(count: int) -> LoneKeeper:
    """Return a keeper of a full domain with idle budgets."""
    keeper = LoneKeeper(DOMAIN_PEERS)
    keeper.configure(budget_document(count))
    return keeper


def _with_targets(count: int) -> LoneKeeper:
    """Return a keeper that owns targets."""
    keeper = LoneKeeper()
    keeper.configure(target_document(count))
    return keeper


def _with_bindings(count: int, seed: int) -> LoneKeeper:
    """Return a keeper with keys in progress."""
    chance = random.Random(seed)
    keeper = LoneKeeper()
    for number in range(count):
        keeper.systems.outcomes.table.add(
            Binding(
                key=f'{chance.getrandbits(256):064x}',
                fingerprint='',
                idempotent=True,
                request_id=f'delta-a-000.router.1a2b3c4d-{number}',
                router='delta-a-000/router',
                state=State.RUNNING,
                expires_at=1e9,
            ),
        )
    return keeper


def _with_rollouts(count: int) -> LoneKeeper:
    """Return a keeper of a full domain with rollouts that have begun."""
    keeper = LoneKeeper(DOMAIN_PEERS)
    start = dt.datetime.fromtimestamp(keeper.clock.wall() - 60, dt.UTC)
    base = target_document(1)
    keeper.configure(
        base.model_copy(
            update={
                'rollouts': {
                    f'move-{number}': models.Rollout(
                        owner='p',
                        route='assistant',
                        old='v1',
                        new=f'v{number + 2}',
                        start=start,
                        deadline=start + dt.timedelta(hours=4),
                    )
                    for number in range(count)
                },
            },
        ),
    )
    return keeper


def heartbeat(routers: int = 1) -> messages.Heartbeat:
    """Return a heartbeat of a keeper with so many routers."""
    return messages.Heartbeat(
        node='delta-a-001/keeper',
        domain='delta-a',
        incarnation='1a2b3c4d',
        revision=1100,
        leaving=False,
        verdicts=3,
        routers=tuple(f'delta-a-{one:03}/router' for one in range(routers)),
        address='10.20.30.40:7000',
        stamp=123456.789,
        admins=tuple(f'10.20.30.40:{7001 + one}' for one in range(routers + 1)),
    )


def _reserve() -> messages.Reserve:
    """Return a reservation of a request."""
    return messages.Reserve(
        request_id='delta-a-000.router.1a2b3c4d-77',
        budget='account-000077',
        account='account-000077',
        tokens=2048,
        deadline_s=120,
        exclude_vm='delta-a-000',
    )


def _message_series() -> Iterator[Series]:
    """Yield the time of heartbeats and of other messages."""
    beat, reserve = heartbeat(), _reserve()
    for name, message in (('heartbeat', beat), ('reserve', reserve)):
        frame = encode('a/keeper', 'b/keeper', _STAMP, message)
        yield _batch(
            f'encode_{name}',
            lambda message=message: encode('a', 'b', _STAMP, message),  # type: ignore[misc]
        )
        yield _batch(
            f'decode_{name}',
            lambda frame=frame: decode(frame),  # type: ignore[misc]
        )
    yield measure('roster_row', 'bytes/keeper', (15, 30, 60), _roster_bytes)
    yield measure(
        'rollout_sends',
        'messages/s and rollout',
        (16, 64, 128),
        _rollout_sends,
    )
    yield measure(
        'evidence_ratio',
        'bytes/log ratio',
        (2, 4, 8),
        _evidence_bytes,
    )
    keeper = LoneKeeper(DOMAIN_PEERS)
    yield _batch('handle_heartbeat', lambda: _take(keeper, beat))
    yield measure(
        'route_member',
        'us/message and member',
        (15, 30, 60),
        lambda size: _route(LoneKeeper(size), reserve),
    )


def _roster_bytes(count: int) -> float:
    """Return the size of a roster of so many keepers."""
    rows = tuple(
        messages.RosterRow(
            f'delta-a-{number:03}/keeper',
            'delta-a',
            '1a2b3c4d',
            '10.20.30.40:7000',
        )
        for number in range(count)
    )
    return len(encode('a', 'b', _STAMP, messages.Roster(rows)))


def _rollout_sends(count: int) -> float:
    """Return the reports a second of rollouts without new evidence."""
    keeper = _with_rollouts(count)
    for _ in range(_TICKS):
        keeper.step()
    keeper.sent.clear()
    # Two of the intervals in which all is repeated.
    for _ in range(200):
        keeper.step()
    return keeper.sent['EvidenceReport'] / (200 * TICK_S)


def _evidence_bytes(count: int) -> float:
    """Return the size of a report with so many log ratios."""
    report = messages.EvidenceReport(
        rollout='assistant-move',
        section=f'{7:064x}',
        domain='delta-a',
        node='delta-a-001/keeper#1a2b3c4d',
        started=1000,
        observed=990,
        failed=3,
        log_ratios={f'errors:{one}': one + 0.123 for one in range(count)},
    )
    frame = encode('delta-a-001/keeper', 'delta-a-002/keeper', _STAMP, report)
    return len(frame)


def _batch(name: str, action: Callable[[], Any]) -> Series:
    """Return the time of batches of an action."""
    return measure(
        name,
        'us/message',
        (300, 600, 1200),
        lambda size: micros(action, size) * size,
    )


def _take(keeper: LoneKeeper, message: Any) -> None:
    """Have a keeper handle a message for itself."""
    own = keeper.context.identity.node
    keeper.node.receive(message, 'delta-a-001/keeper', own)
    keeper.context.outbox.drain()


def _route(keeper: LoneKeeper, message: Any) -> float:
    """Return the microseconds in which the home of a message is found."""
    return micros(lambda: keeper.systems.membership.keeper_for(message), 200)


def budget_text(count: int) -> str:
    """Return a configuration text with budgets only."""
    return '\n'.join(
        f'[budget:account-{number:06}]\nowner = sales\n'
        'opening_tokens = 1000000\n'
        for number in range(count)
    )


def _configuration_series() -> Iterator[Series]:
    """Yield the time of a new revision by its budget sections."""
    sizes = (500, 1000, 2000)
    yield measure(
        'parse_section',
        'us/section',
        sizes,
        lambda size: _parse(budget_text(size)),
    )
    yield measure(
        'check_section',
        'us/section',
        sizes,
        lambda size: _check(budget_document(size)),
    )
    yield measure('force_section', 'us/section', sizes, _force)
    yield measure(
        'section_bytes',
        'bytes/section',
        sizes,
        lambda size: len(budget_text(size)),
    )


def _parse(text: str) -> float:
    """Return the microseconds in which a text is parsed and validated."""
    return micros(lambda: parse_document(text), 1)


def _check(document: models.Document) -> float:
    """Return the microseconds of the rules over all sections."""
    return micros(lambda: check_rules(document, 'c'), 4)


def _force(count: int) -> float:
    """Return the microseconds in which a keeper puts a document in force."""
    keeper = LoneKeeper(DOMAIN_PEERS)
    document = budget_document(count)
    return micros(lambda: keeper.configure(document), 2)
