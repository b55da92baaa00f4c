"""Compares a target's late load reports with the slots that are known."""

import math

from fuchsiafork.dispatch.state import TargetState

# Greatest lag of a load report, its poll included.
REPORT_LAG_S = 1.0
# A router that closed a connection may be ahead of its target by this much.
CLOSE_LAG_S = 1.0
# A grant reaches the target within this time unless its router was paused.
SEND_LAG_S = 0.5
# Reports over this time must agree before an unknown stream counts as gone.
AGREEMENT_S = 1.0
_AGREEING_REPORTS = 3


def reconcile(row: TargetState, now: float) -> None:
    """
    Correct the number of streams that no known slot accounts for.

    The number rises as soon as a report shows more streams than the slots
    of the time in question can explain. It falls only when all reports of
    ``AGREEMENT_S`` leave room for fewer.
    """
    if not row.unknown and row.running <= len(row.slots):
        return
    least, most = _known_streams(row, now)
    if row.running - most > row.unknown:
        row.unknown = row.running - most
        row.bounds.clear()
    if not row.unknown:
        row.bounds.clear()
        return
    row.bounds.append((now, row.running - least))
    while row.bounds[0][0] < now - 2 * AGREEMENT_S:
        row.bounds.popleft()
    agreed = now - row.bounds[0][0] >= AGREEMENT_S
    if agreed and len(row.bounds) >= _AGREEING_REPORTS:
        highest = max(bound for _, bound in row.bounds)
        row.unknown = max(0, min(row.unknown, highest))


def _known_streams(row: TargetState, now: float) -> tuple[int, int]:
    """
    Return the least and the most streams that known slots explain.

    The time at which the report was true is unknown within the lag, so all
    times of the lag are tried.
    """
    spans = [(slot.granted_at, math.inf) for slot in row.slots.values()]
    spans.extend(row.ended)
    first = now - REPORT_LAG_S
    surely = [(start + SEND_LAG_S, end) for start, end in spans]
    maybe = [(start, end + CLOSE_LAG_S) for start, end in spans]
    return (
        min(_count(surely, first, now)),
        max(_count(maybe, first, now)),
    )


def _count(
    spans: list[tuple[float, float]],
    first: float,
    last: float,
) -> list[int]:
    """Return how many spans are open at each change in an interval."""
    edges = [edge for span in spans for edge in span if first < edge < last]
    return [
        sum(start <= moment < end for start, end in spans)
        for moment in (first, last, *edges)
    ]
