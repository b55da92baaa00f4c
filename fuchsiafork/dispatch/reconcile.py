"""Reconciles a target's late load reports with the known slots."""

import math

from fuchsiafork.dispatch.state import TargetState

# Greatest age of a load report, including the polling interval.
REPORT_LAG_S = 1.0
# A target may notice up to this time later than the router that a connection
# was closed.
CLOSE_LAG_S = 1.0
# A granted request reaches its target within this time unless the router was
# paused.
SEND_LAG_S = 0.5
# All reports in this time must agree before an unattributed stream counts as
# ended.
AGREEMENT_S = 1.0
_AGREEING_REPORTS = 3


def reconcile(target: TargetState, now: float) -> None:
    """
    Correct the number of streams that belong to no known slot.

    The number rises as soon as a report shows more streams than the slots
    held at the time of the report can explain. It falls only when all
    reports in ``AGREEMENT_S`` allow for fewer.
    """
    if not target.unattributed_streams and target.running <= len(target.slots):
        return
    least, most = _explained_streams(target, now)
    if target.running - most > target.unattributed_streams:
        target.unattributed_streams = target.running - most
        target.unattributed_bounds.clear()
    if not target.unattributed_streams:
        target.unattributed_bounds.clear()
        return
    target.unattributed_bounds.append((now, target.running - least))
    while target.unattributed_bounds[0][0] < now - 2 * AGREEMENT_S:
        target.unattributed_bounds.popleft()
    agreed = now - target.unattributed_bounds[0][0] >= AGREEMENT_S
    if agreed and len(target.unattributed_bounds) >= _AGREEING_REPORTS:
        highest = max(bound for _, bound in target.unattributed_bounds)
        target.unattributed_streams = max(
            0, min(target.unattributed_streams, highest)
        )


def _explained_streams(target: TargetState, now: float) -> tuple[int, int]:
    """
    Return the least and the most streams that known slots explain.

    When within the lag the target counted its streams is unknown, so all
    points in that time are considered.
    """
    spans = [(slot.granted_at, math.inf) for slot in target.slots.values()]
    spans.extend(target.ended_spans)
    first = now - REPORT_LAG_S
    certain = [(start + SEND_LAG_S, end) for start, end in spans]
    possible = [(start, end + CLOSE_LAG_S) for start, end in spans]
    return (
        min(_open_spans(certain, first, now)),
        max(_open_spans(possible, first, now)),
    )


def _open_spans(
    spans: list[tuple[float, float]],
    first: float,
    last: float,
) -> list[int]:
    """Return the number of open spans at each change in an interval."""
    edges = [edge for span in spans for edge in span if first < edge < last]
    return [
        sum(start <= moment < end for start, end in spans)
        for moment in (first, last, *edges)
    ]
