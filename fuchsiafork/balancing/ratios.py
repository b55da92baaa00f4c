"""Quantiles of ratios of actual to expected values, which forget."""

import array
import collections
import math
from collections.abc import Iterable, Sequence

# Ratios are counted in steps of half an octave, from 1/64 to 64.
STEPS_PER_OCTAVE = 2
MAX_OCTAVES = 6
_CENTER = STEPS_PER_OCTAVE * MAX_OCTAVES
_STEPS = 2 * _CENTER + 1
# Factor of the weight of older ratios with each further one: about the last 20
# of a key and the last 100 of a group count.
KEY_DECAY = 0.95
GROUP_DECAY = 0.99
# Weight of the prior, and the most of a group, beside the ratios of a key.
PRIOR_WEIGHT = 2.0
MAX_GROUP_WEIGHT = 8.0
# Keys and groups that are kept, those used last.
MAX_HISTOGRAMS = 1024

_Key = tuple[str, ...]
_Weights = Sequence[float]


class LearnedRatios:
    """
    Ratios by key, each of which belongs to a group.

    A key without many ratios of its own is taken to be like its group.
    """

    def __init__(self) -> None:
        """Start without ratios."""
        self._histograms: collections.OrderedDict[_Key, array.array[float]] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of keys and groups."""
        return len(self._histograms)

    def quantile(
        self, group: str, key: str, share: float, prior: float
    ) -> float:
        """
        Return the ratio that a share of the ratios is below.

        :param prior: the ratio while nothing is known.
        """
        of_group = self._histograms.get((group,))
        if of_group is None:
            return prior
        scale = min(1.0, MAX_GROUP_WEIGHT / sum(of_group))
        weights = [scale * weight for weight in of_group]
        weights[_step(prior)] += PRIOR_WEIGHT
        own = self._histograms.get((group, key), ())
        for step, weight in enumerate(own):
            weights[step] += weight
        return _quantile(weights, share)

    def add(self, group: str, key: str, ratio: float) -> None:
        """Add a ratio."""
        step = _step(ratio)
        self._add((group,), step, GROUP_DECAY)
        self._add((group, key), step, KEY_DECAY)

    def _add(self, key: _Key, step: int, decay: float) -> None:
        """Add a ratio to a histogram, with less weight for the older ones."""
        old: Iterable[float] = self._histograms.pop(key, (0.0,) * _STEPS)
        histogram = array.array('d', [decay * weight for weight in old])
        histogram[step] += 1.0
        self._histograms[key] = histogram
        if len(self._histograms) > MAX_HISTOGRAMS:
            self._histograms.popitem(last=False)


def _step(ratio: float) -> int:
    """Return the step that a ratio is counted in."""
    octaves = math.log2(max(ratio, 2**-MAX_OCTAVES))
    return min(_STEPS - 1, round(STEPS_PER_OCTAVE * octaves) + _CENTER)


def _quantile(weights: _Weights, share: float) -> float:
    """Return the ratio that a share of the weight is below."""
    left = share * sum(weights)
    position = float(_STEPS)
    for step, weight in enumerate(weights):
        if weight and weight >= left:
            position = step - 0.5 + left / weight
            break
        left -= weight
    return float(2 ** ((position - _CENTER) / STEPS_PER_OCTAVE))


__all__ = ('MAX_HISTOGRAMS', 'LearnedRatios')
