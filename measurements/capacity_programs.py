"""Real programs on loopback: time, frames and memory by their own counters."""

import concurrent.futures
import contextlib
import dataclasses
import json
import os
import pathlib
import time
from collections.abc import Generator, Iterator

import urllib3

from measurements.capacity_fit import Series
from standins.deployment import (
    CallerClient,
    apply_sections,
    base_sections,
    is_complete_answer,
)
from standins.engine_server import EngineServer
from standins.engine_types import UNFINISHED, EngineSettings
from standins.fleet import ProcessFleet, Targets, Vm, make_vms

REQUESTS = (20, 40, 80)
STREAMS = (16, 32, 64)
CHANGES = 3
_TOKENS = 10
_LONG = 120
_CALLERS = 8
_THREADS = 96
_PAGE = 4096
_IDLE_S = 2.0
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """Processor seconds, frames and bytes of all processes at a moment."""

    at: float
    router_s: float
    keeper_s: float
    frames: float
    frame_bytes: float


class WholeEngine(EngineServer):
    """
    An engine that sends each token also when many streams are open.

    The base reads a stream's count twice and skips the tokens that were
    generated in between.
    """

    def _stream_tokens(self, request_id: str, start: int) -> Iterator[bytes]:
        """Yield each token until the request has ended."""
        sent = start
        while True:
            record = self._wait_for_tokens(request_id, sent)
            ended = record.state not in UNFINISHED
            reached = record.tokens
            for index in range(sent, reached):
                text = f'{request_id}.{index} '
                chunk = {'choices': [{'delta': {'content': text}}]}
                yield f'data: {json.dumps(chunk)}\n\n'.encode()
            sent = reached
            if ended:
                return


class Programs:
    """Two VMs of one failure domain with one engine."""

    def __init__(self) -> None:
        """Start everything and wait until it is ready."""
        self.targets = Targets()
        engine = WholeEngine(
            'engine-a',
            EngineSettings(capacity=96, step_s=0.005, stream_s=0.0001),
            'v1',
        )
        engine.server.start()
        self.targets.engines['engine-a'] = engine
        self.targets.domains['engine-a'] = 'a'
        self.fleet = ProcessFleet(make_vms(['a'], 2), threads=_THREADS)
        self.caller = CallerClient('bakers')
        self._pool = urllib3.PoolManager(retries=False, timeout=2)
        self.broken = 0

    def start(self) -> None:
        """Start the programs and put a document in force."""
        self.fleet.start()
        self.apply(0)
        self.fleet.wait_ready()
        self._ask_many(8)

    def stop(self) -> None:
        """End what was started."""
        self.fleet.stop()
        self.targets.stop()

    def apply(self, change: int) -> None:
        """Store a document; ``change`` makes it differ from the last."""
        sections = base_sections(self.targets, {'bakers': 50_000_000})
        sections['route:assistant']['max_output_tokens'] = str(1024 + change)
        apply_sections(self.fleet.store.url, sections)

    def reading(self) -> Reading:
        """Return the counters now."""
        pages = [self._metrics(vm) for vm in self.fleet.vms]
        return Reading(
            time.monotonic(),
            sum(self._seconds(vm, 'router') for vm in self.fleet.vms),
            sum(self._seconds(vm, 'keeper') for vm in self.fleet.vms),
            sum(page['in'] + page['out'] for page in pages),
            sum(page['bytes'] for page in pages),
        )

    def serve(self, count: int) -> tuple[Reading, Reading]:
        """Return the counters before and after so many requests."""
        before = self.reading()
        self._ask_many(count)
        # Settlements are written, and acknowledged, within a second.
        time.sleep(1.2)
        return before, self.reading()

    def rss(self, program: str) -> float:
        """Return the first VM's memory in bytes."""
        process = self.fleet.processes[f'{self.fleet.vms[0].name}/{program}']
        text = pathlib.Path(f'/proc/{process.pid}/statm').read_text('utf-8')
        return int(text.split()[1]) * _PAGE

    def hold(self, count: int) -> float:
        """Return the first router's memory while streams are open."""
        url = self.fleet.vms[0].url
        with concurrent.futures.ThreadPoolExecutor(count) as pool:
            calls = [
                pool.submit(self.caller.chat, url, f'plan {one}', _LONG)
                for one in range(count)
            ]
            time.sleep(0.8)
            held = self.rss('router')
            self._check(calls, _LONG)
        return held

    def spread_s(self, change: int) -> tuple[float, float]:
        """Return the seconds until the first and the last keeper changed."""
        revisions = self._revisions()
        self.apply(change)
        started = time.monotonic()
        seen: dict[str, float] = {}
        while len(seen) < len(revisions) and time.monotonic() < started + 5:
            now = self._revisions()
            for address, revision in now.items():
                if revision > revisions[address]:
                    seen.setdefault(address, time.monotonic() - started)
            time.sleep(0.01)
        keepers = [seen.get(vm.keeper_admin, 5.0) for vm in self.fleet.vms]
        return min(keepers), max(seen.values(), default=5.0)

    def _revisions(self) -> dict[str, int]:
        """Return the revision in force by admin address."""
        addresses = [
            address
            for vm in self.fleet.vms
            for address in (vm.keeper_admin, vm.router_admin)
        ]
        return {
            address: self._pool.request(
                'GET',
                f'http://{address}/status',
            ).json()['revision']
            for address in addresses
        }

    def _ask_many(self, count: int) -> None:
        """Send requests from some callers at once to both routers."""
        vms = self.fleet.vms
        with concurrent.futures.ThreadPoolExecutor(_CALLERS) as pool:
            calls = [
                pool.submit(
                    self.caller.chat,
                    vms[number % len(vms)].url,
                    f'dough {number}',
                    _TOKENS,
                )
                for number in range(count)
            ]
            self._check(calls, _TOKENS)

    def _check(
        self,
        calls: list[concurrent.futures.Future[urllib3.BaseHTTPResponse]],
        tokens: int,
    ) -> None:
        """Count the answers that are not whole."""
        for call in calls:
            if not is_complete_answer(call.result().data, tokens):
                self.broken += 1

    def _seconds(self, vm: Vm, program: str) -> float:
        """Return a process's processor seconds."""
        process = self.fleet.processes[f'{vm.name}/{program}']
        text = pathlib.Path(f'/proc/{process.pid}/stat').read_text('utf-8')
        fields = text.rpartition(')')[2].split()
        return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S

    def _metrics(self, vm: Vm) -> dict[str, float]:
        """Return a keeper's link counters."""
        url = f'http://{vm.keeper_admin}/metrics'
        lines = self._pool.request('GET', url).data.decode().splitlines()
        rows = dict(
            line.rsplit(' ', 1) for line in lines if not line.startswith('#')
        )
        figures = {
            name: float(rows[f'fuchsiafork_link_{name}_total'])
            for name in ('frames_in', 'frames_out', 'bytes_in', 'bytes_out')
        }
        return {
            'in': figures['frames_in'],
            'out': figures['frames_out'],
            'bytes': figures['bytes_in'] + figures['bytes_out'],
        }


@contextlib.contextmanager
def running() -> Generator[Programs, None, None]:
    """Run the programs within a block."""
    programs = Programs()
    try:
        programs.start()
        yield programs
    finally:
        programs.stop()


def program_series() -> tuple[list[Series], int]:
    """Return the series of the real programs, and the broken answers."""
    with running() as programs:
        before = programs.reading()
        time.sleep(_IDLE_S)
        idle = _rates(before, programs.reading())
        served = [
            (
                count,
                *_beyond(idle, *programs.serve(count)),
                programs.rss('keeper'),
            )
            for count in REQUESTS
        ]
        held = tuple((count, programs.hold(count)) for count in STREAMS)
        spread = [programs.spread_s(one + 1) for one in range(CHANGES)]
        broken = programs.broken
    names = (
        ('request_router', 'us/request'),
        ('request_keeper', 'us/request'),
        ('request_frames', 'keeper frames in and out/request'),
        ('request_bytes', 'keeper link bytes in and out/request'),
        ('keeper_memory', 'bytes/request'),
    )
    series = [
        Series(name, unit, tuple((row[0], row[place]) for row in served))
        for place, (name, unit) in enumerate(names, start=1)
    ]
    series.append(Series('stream_memory', 'bytes/open stream', held))
    for place, name in enumerate(('spread_first', 'spread_last')):
        points = tuple((one, row[place]) for one, row in enumerate(spread))
        series.append(Series(name, 's by change', points))
    return series, broken


def _rates(before: Reading, after: Reading) -> tuple[float, ...]:
    """Return what the idle programs use a second."""
    seconds = after.at - before.at
    return tuple(figure / seconds for figure in _grown(before, after))


def _grown(before: Reading, after: Reading) -> tuple[float, ...]:
    """Return microseconds, frames and bytes between two readings."""
    return (
        (after.router_s - before.router_s) * 1e6,
        (after.keeper_s - before.keeper_s) * 1e6,
        after.frames - before.frames,
        after.frame_bytes - before.frame_bytes,
    )


def _beyond(
    idle: tuple[float, ...],
    before: Reading,
    after: Reading,
) -> tuple[float, ...]:
    """Return what was used beyond the idle rates."""
    seconds = after.at - before.at
    return tuple(
        figure - rate * seconds
        for figure, rate in zip(_grown(before, after), idle, strict=True)
    )
