"""Runs the whole suite and closes with a count of passed and failed tests."""

import sys
import unittest
from pathlib import Path

_ROOT = Path(__file__).parent.parent
_KNOWN_RED = _ROOT / 'KNOWN-RED.txt'


def _load_known_red() -> set[str]:
    """
    Return the ids of the tests that are recorded as failing.

    An entry's first line starts with ``test: `` and the test's id.
    """
    lines = _KNOWN_RED.read_text(encoding='utf-8').splitlines()
    prefix = 'test: '
    return {
        line.removeprefix(prefix).strip()
        for line in lines
        if line.startswith(prefix)
    }


def _failed_ids(outcome: unittest.TestResult) -> set[str]:
    """Return the ids of the tests that failed or raised an error."""
    problems = outcome.failures + outcome.errors
    # A failed subtest's id starts with the id of its test.
    names = {test.id().split(' ')[0] for test, _ in problems}
    names.update(test.id() for test in outcome.unexpectedSuccesses)
    return names


def main() -> int:
    """Return 0 when no test failed but those recorded in KNOWN-RED.txt."""
    loader = unittest.TestLoader()
    if len(sys.argv) > 1:
        suite = loader.loadTestsFromNames(sys.argv[1:])
    else:
        suite = loader.discover('tests', top_level_dir=str(_ROOT))
    runner = unittest.TextTestRunner(stream=sys.stdout, verbosity=1)
    outcome = runner.run(suite)
    failed = _failed_ids(outcome)
    known = failed & _load_known_red()
    for name in sorted(known):
        print(f'known red, see KNOWN-RED.txt: {name}')
    unknown = failed - known
    passed = outcome.testsRun - len(failed)
    skipped = len(outcome.skipped)
    summary = f'{passed - skipped} passed, {len(unknown)} failed'
    total_skipped = skipped + len(known)
    print(f'{summary}, {total_skipped} skipped' if total_skipped else summary)
    return 1 if unknown or not outcome.testsRun else 0


if __name__ == '__main__':
    sys.exit(main())
