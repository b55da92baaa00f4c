"""The deploy file and what a deployed process needs."""

import subprocess  # ruff: ignore[suspicious-subprocess-import]
import sys
import tomllib
import unittest
from pathlib import Path

_ROOT = Path(__file__).parents[1]
_LOCK = _ROOT / 'deploy' / 'requirements.lock'
# Libraries of the other programs, which a deployed process must do without.
_ABSENT = ('cbor2', 'cheroot', 'cyclopts', 'urllib3', 'websockets', 'rich')


class TestDeploy(unittest.TestCase):
    """What the platform builds and runs."""

    def test_runs_with_the_locked_libraries_only(self) -> None:
        """Guards against a process that starts on developers' machines only."""
        program = (
            'import sys\n'
            f'sys.modules.update(dict.fromkeys({_ABSENT!r}))\n'
            'import fuchsiafork.gateway.__main__\n'
        )
        done = subprocess.run(  # ruff: ignore[subprocess-without-shell-equals-true]
            (sys.executable, '-c', program),
            cwd=_ROOT,
            capture_output=True,
            check=False,
            text=True,
        )
        self.assertEqual(done.returncode, 0, done.stderr)

    def test_locked_versions_are_those_that_are_tested(self) -> None:
        """Guards against deploying other versions than CI has tested."""
        tested = (_ROOT / 'requirements.lock').read_text(encoding='utf-8')
        deployed = _LOCK.read_text(encoding='utf-8').split()
        self.assertTrue(deployed)
        self.assertEqual(set(deployed) - set(tested.split()), set())

    def test_deploy_file(self) -> None:
        """Guards against a build that needs or leaves anything elsewhere."""
        text = (_ROOT / 'deploy' / 'system.toml').read_text(encoding='utf-8')
        deploy = tomllib.loads(text)
        self.assertIn('--target target/deps', deploy['build'])
        self.assertEqual(list(deploy['roles']), ['gateway'])
