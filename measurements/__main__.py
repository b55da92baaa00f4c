"""Runs one measurement and prints its result as one JSON line, last."""

import argparse
import importlib
import json
import sys

NAMES = (
    'announcements',
    'budgets',
    'callers',
    'capacity',
    'choices',
    'demo',
    'feeds',
    'load_exchange',
    'outcomes',
    'quarantine',
    'rollouts',
    'slow_readers',
    'stop',
    'targets',
    'tokens',
)


def main() -> int:
    """
    Return 0 if the measurement's conditions held.

    A measurement is a module with ``run(seed) -> (result, held)``.
    """
    parser = argparse.ArgumentParser(prog='python -m measurements')
    parser.add_argument('name', choices=NAMES)
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    module = importlib.import_module(f'measurements.{options.name}')
    result, held = module.run(options.seed)
    print(json.dumps({'seed': options.seed, **result}))
    return 0 if held else 1


if __name__ == '__main__':
    sys.exit(main())
