"""What the stand-ins of the demonstration counted, as tables."""

import collections
import math
from typing import Any

from fuchsiafork.kernel import CODES
from measurements.demo_site import BAD_VERSION, ENGINE_LIMIT, DemoSite
from measurements.demo_traffic import Traffic
from standins.platform_targets import Run

AFTER_VERDICT_S = 2.0


class Report:
    """Counts of one deployment, and the conditions over them."""

    def __init__(
        self,
        site: DemoSite,
        traffic: Traffic,
        verdict_at: float,
    ) -> None:
        """
        Count what the stand-ins hold.

        :param verdict_at: time of the verdict, infinite if there is none.
        """
        self.name = site.deployment.name
        self.prepaid = site.prepaid
        self.counts = traffic.counts
        runs = [run for target in site.targets for run in target.runs]
        self.spent = _spent(runs)
        times = collections.Counter(run.request_id for run in runs)
        self.doubled = sum(times[order] > 1 for order in self.counts.orders)
        self.lost = sum(
            done and not times[order]
            for order, done in self.counts.orders.items()
        )
        self.untrue = sum(times[one] > 0 for one in self.counts.not_run)
        self.overfilled = sum(
            target.max_concurrent_runs > ENGINE_LIMIT for target in site.targets
        )
        self.verdict_at = verdict_at
        bad = [run.started_at for run in _bad_runs(site)]
        self.bad_requests = sum(start <= verdict_at for start in bad)
        late = verdict_at + AFTER_VERDICT_S
        self.after_verdict = sum(start > late for start in bad)

    @property
    def conditions(self) -> dict[str, bool]:
        """What must always hold, and whether it did."""
        return {
            'no budget is overspent': all(
                self.spent[name] <= tokens
                for name, tokens in self.prepaid.items()
            ),
            'no order ran twice, none answered was lost': not (
                self.doubled or self.lost
            ),
            'no answer was crossed': not self.counts.crossed,
            'every "not run" was true': not self.untrue,
            'no target was overfilled': not self.overfilled,
            'the bad version was taken back': math.isfinite(self.verdict_at),
            'no request went to it 2 s after the verdict': not (
                self.after_verdict
            ),
            'requests were answered': self.counts.answered > 0,
        }

    @property
    def held(self) -> bool:
        """Whether all conditions held."""
        return all(self.conditions.values())

    def summary(self) -> dict[str, Any]:
        """Return the counts for the JSON line."""
        counts = self.counts
        return {
            'requests': counts.requests,
            'answered': counts.answered,
            'cut': counts.cut,
            'refusals': sum(counts.refusals.values()),
            'bad_version_requests': self.bad_requests,
            'failed_conditions': [
                text for text, held in self.conditions.items() if not held
            ],
        }


def print_report(report: Report) -> None:
    """Print the tables of one deployment."""
    counts = report.counts
    print(f'\n== {report.name} ==')
    print(f'{"requests":28}{counts.requests:>10}')
    print(f'{"answered whole":28}{counts.answered:>10}')
    print(f'{"cut off with an error":28}{counts.cut:>10}')
    for (code, state), number in sorted(counts.refusals.items()):
        kind = CODES[code].__name__.removesuffix('Error')
        print(f'{f"refused: {code} {kind} ({state})":44}{number:>6}')
    print(f'\n{"budget":18}{"prepaid":>12}{"spent at targets":>18}')
    for name, tokens in report.prepaid.items():
        print(f'{name:18}{tokens:>12}{report.spent[name]:>18}')
    print(
        f'\nversion {BAD_VERSION!r} taken back after '
        f'{report.bad_requests} of its requests',
    )
    for text, held in report.conditions.items():
        print(f'{"ok    " if held else "FAILED"} {text}')


def _spent(runs: list[Run]) -> collections.Counter[str]:
    """Return tokens by account, as the engines counted them."""
    spent: collections.Counter[str] = collections.Counter()
    for run in runs:
        spent[run.account] += run.tokens
    return spent


def _bad_runs(site: DemoSite) -> list[Run]:
    """Return what the bad version has run."""
    return [
        run
        for target in site.targets
        if target.target_id.startswith('bad-')
        for run in target.runs
    ]
