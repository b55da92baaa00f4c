"""Tests of the deploy file and the dependencies of a deployed process."""

import subprocess  # ruff: ignore[suspicious-subprocess-import]
import sys
import tomllib
import unittest
from pathlib import Path

_ROOT = Path(__file__).parents[1]
_LOCK = _ROOT / 'deploy' / 'requirements.lock'
# Libraries of the other programs, which are not installed in a deployment.
_NOT_INSTALLED = (
    'cbor2',
    'cheroot',
    'cyclopts',
    'urllib3',
    'websockets',
    'rich',
)


class TestDeploy(unittest.TestCase):
    """Deployment by the platform."""

    def test_runs_with_the_locked_libraries_only(self) -> None:
        """Guards against a process that only starts on developers' machines."""
        program = (
            'import sys\n'
            f'sys.modules.update(dict.fromkeys({_NOT_INSTALLED!r}))\n'
            'import fuchsiafork.gateway.__main__\n'
        )
        completed = subprocess.run(  # ruff: ignore[subprocess-without-shell-equals-true]
            (sys.executable, '-c', program),
            cwd=_ROOT,
            capture_output=True,
            check=False,
            text=True,
        )
        self.assertEqual(completed.returncode, 0, completed.stderr)

    def test_deployed_versions_are_tested_versions(self) -> None:
        """Guards against deploying versions that CI has not tested."""
        tested = (_ROOT / 'requirements.lock').read_text(encoding='utf-8')
        deployed = _LOCK.read_text(encoding='utf-8').split()
        self.assertTrue(deployed)
        self.assertEqual(set(deployed) - set(tested.split()), set())

    def test_deploy_file(self) -> None:
        """Guards against a build that reads or writes outside its folder."""
        text = (_ROOT / 'deploy' / 'system.toml').read_text(encoding='utf-8')
        deploy = tomllib.loads(text)
        self.assertIn('--target target/deps', deploy['build'])
        self.assertEqual(list(deploy['roles']), ['gateway'])
