"""Runs a gateway as a process of its own, with a limit on its memory."""

import asyncio
import os
import re
import subprocess  # ruff: ignore[suspicious-subprocess-import]
import sys
from pathlib import Path

from fuchsiafork.platform.settings import PATH_VARIABLE, load_vm_settings
from standins.platform_site import PlatformSite

_ROOT = Path(__file__).parent.parent
_READY_S = 20.0
_POLL_S = 0.1
_STOP_S = 20.0
_PEAK = re.compile(r'VmHWM:\s+(\d+) kB')
_KB_PER_MB = 1024


class GatewayProcess:
    """
    A gateway process of a site.

    :ivar port: its port for callers.
    :ivar ready_port: its port for the readiness page.
    :ivar metrics_port: its port for metrics and status.
    :ivar peer_port: its port for calls of other VMs.
    """

    def __init__(
        self,
        site: PlatformSite,
        vm: str,
        memory_mb: int,
        more: tuple[str, ...] = (),
    ) -> None:
        """
        Start the process.

        :param memory_mb: memory that its settings allow.
        :param more: further lines of its settings.
        """
        path, self.port = site.write_settings(
            vm, 'a', more=(f'limits.memoryMb={memory_mb}', *more)
        )
        self._log_path = path.with_suffix('.log')
        with self._log_path.open('wb') as log:
            self._process = subprocess.Popen(
                (sys.executable, '-m', 'fuchsiafork.gateway'),
                cwd=_ROOT,
                env={**os.environ, PATH_VARIABLE: str(path)},
                stdout=log,
                stderr=log,
            )
        settings = load_vm_settings(path)
        self.ready_port = _port_of(settings.listen.readiness)
        self.metrics_port = settings.metrics_port
        self.peer_port = _port_of(settings.peer_address)

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.poll() is None

    @property
    def pid(self) -> int:
        """Id of the process."""
        return self._process.pid

    @property
    def peak_mb(self) -> float:
        """Highest resident memory so far, in megabytes."""
        status = Path(f'/proc/{self._process.pid}/status').read_text(
            encoding='utf-8'
        )
        match = _PEAK.search(status)
        if match is None:
            raise RuntimeError('the process has ended')
        return int(match.group(1)) / _KB_PER_MB

    @property
    def descriptors(self) -> int:
        """Number of open descriptors."""
        return len(tuple(Path(f'/proc/{self._process.pid}/fd').iterdir()))

    async def wait_ready(self) -> None:
        """
        Wait until it says that it is ready.

        :raises TimeoutError: if it doesn't in time.
        """
        async with asyncio.timeout(_READY_S):
            while not await self._is_ready():
                await asyncio.sleep(_POLL_S)

    def stop(self) -> None:
        """End the process."""
        self._process.kill()
        self._process.wait(_STOP_S)

    def log(self) -> str:
        """Return what it has logged."""
        return self._log_path.read_text(encoding='utf-8')

    async def _is_ready(self) -> bool:
        """Return whether its readiness page answers 200."""
        try:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', self.ready_port
            )
        except OSError:
            return False
        writer.write(b'GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n')
        try:
            return b' 200 ' in await reader.readline()
        except OSError:
            return False
        finally:
            writer.close()


def _port_of(address: str) -> int:
    """Return the port of an address, IP:PORT."""
    return int(address.rpartition(':')[2])


__all__ = ('GatewayProcess',)
