"""Creates the components that estimate work and choose targets by it."""

import random

from fuchsiafork.balancing import (
    Assessment,
    LoadView,
    SentParts,
    TargetChoice,
    TargetSpeeds,
    WorkEstimates,
)
from fuchsiafork.balancing.request_work import LearnedWork
from fuchsiafork.gateway.metrics import GatewayMetrics
from fuchsiafork.gateway.reachability import DomainReachability
from fuchsiafork.gateway.target_chooser import TargetChooser
from fuchsiafork.gateway.target_selection import TargetSelector
from fuchsiafork.kernel import Clock


def make_learned_work(clock: Clock, metrics: GatewayMetrics) -> LearnedWork:
    """Return what estimates of work rest on, before the first answer."""
    ratios = metrics.output_ratio
    return LearnedWork(
        clock=clock,
        view=LoadView(clock),
        estimates=WorkEstimates(),
        speeds=TargetSpeeds(clock),
        sent_parts=SentParts(clock),
        on_output=lambda route, ratio: ratios.labels(route).observe(ratio),
    )


def make_target_chooser(
    domain: str,
    reachability: DomainReachability,
    learned: LearnedWork,
    rng: random.Random,
) -> TargetChooser:
    """Return what chooses targets for a VM in a failure domain."""
    assessment = Assessment(
        domain,
        learned.view,
        learned.speeds,
        learned.sent_parts,
        learned.clock,
    )
    return TargetChooser(
        TargetSelector(domain, reachability, rng),
        TargetChoice(assessment, rng),
        learned.view,
    )


__all__ = ('make_learned_work', 'make_target_chooser')
