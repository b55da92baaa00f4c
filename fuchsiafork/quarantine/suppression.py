"""
Delays after which one of many VMs reports what all of them saw.

The density of the delays rises exponentially, so that few VMs draw a short one,
however many there are, and the others hear of the first report before theirs
is due.
"""

import math
import random

MAX_DELAY_S = 2.0
# Steepness of the density; suits fleets of up to some thousand VMs.
_STEEPNESS = 10.0


def suppression_delay_s(rng: random.Random) -> float:
    """Return a random delay, mostly close to the longest one."""
    scale = math.expm1(_STEEPNESS)
    return MAX_DELAY_S * math.log1p(rng.random() * scale) / _STEEPNESS


__all__ = ('MAX_DELAY_S', 'suppression_delay_s')
