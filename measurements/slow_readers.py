"""
Memory that a router holds for callers that read slowly.

One router process on loopback serves some hundreds of readers. Most take
their answers slower than the engines generate them, some stop for longer
than the stall time in the middle, and a few read at once. The router's
memory is read from the kernel, and answers are compared with the engines'
own count of tokens.
"""

import concurrent.futures
import dataclasses
import json
import pathlib
import random
import resource
import socket
import statistics
import threading
import time
from typing import Any, Self

from measurements.slow_readers_baseline import HeldBytes, UnboundedRelay
from standins.deployment import (
    apply_sections,
    base_sections,
    is_complete_answer,
)
from standins.engine_types import EngineSettings
from standins.fleet import ProcessFleet, Targets, Vm, make_vms

READERS = 200
BASELINE_READERS = 40
TOKENS = 150
TOKEN_BYTES = 4096
QUICK_TOKENS = 20
QUICK_RUNS = 8
# Shorter than the default of 5 s, so that pauses fit into the run.
STALL_S = 1.0
# Half of a node's 256 MB for the 256 streams of the default settings.
BOUND_PER_READER = 512 * 1024

_PAGE = resource.getpagesize()
_TIMEOUT_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reader:
    """
    How one caller reads.

    :ivar piece: bytes read at a time.
    :ivar wait_s: seconds between two reads.
    :ivar stop_s: seconds without reading, once, after ``stop_at`` bytes.
    """

    piece: int
    wait_s: float
    stop_at: int = 0
    stop_s: float = 0


def run(seed: int) -> tuple[dict[str, Any], bool]:
    """Return the figures, and whether memory was bounded and answers whole."""
    chance = random.Random(seed)
    targets = Targets()
    settings = EngineSettings(
        capacity=160,
        step_s=0.02,
        stream_s=0,
        cache_blocks=1024,
    )
    for name in ('engine-1', 'engine-2'):
        targets.add_engine(name, 'a', settings=settings)
    fleet = ProcessFleet(
        make_vms(['a'], 1),
        threads=READERS + 60,
        stall_s=f'{STALL_S:g}',
    )
    sections = base_sections(targets, {'bakers': 10_000_000})
    try:
        fleet.start()
        apply_sections(fleet.store.url, sections)
        return _measure(fleet, targets, chance)
    finally:
        fleet.stop()
        targets.stop()


def _measure(
    fleet: ProcessFleet,
    targets: Targets,
    chance: random.Random,
) -> tuple[dict[str, Any], bool]:
    """Return the figures of a fleet that is ready."""
    fleet.wait_ready()
    vm = fleet.vms[0]
    process = fleet.processes[f'{vm.name}/router']
    # The first requests load code and open links.
    _quick_times(vm, 2)
    alone = _quick_times(vm, QUICK_RUNS)
    idle = _resident(process.pid)
    with _Peak(process.pid) as peak:
        bodies, beside = _load(vm, _make_readers(chance))
        held = max(0, peak.bytes - idle)
    counts = [engine.model.counts for engine in targets.engines.values()]
    truncated = sum(not is_complete_answer(body, TOKENS) for body in bodies)
    baseline = _measure_baseline(targets, chance)
    per_reader = held / READERS
    ratio = statistics.median(beside) / statistics.median(alone)
    result = {
        'readers': READERS,
        'bytes_held_peak': held,
        'bytes_held_per_reader': round(per_reader),
        'bound_per_reader': BOUND_PER_READER,
        'quick_reader_delay_ratio': round(ratio, 2),
        'truncated': truncated,
        'paused': sum(one['paused'] for one in counts),
        'resumed': sum(one['resumed'] for one in counts),
        'baseline_unbounded': baseline,
    }
    held_bound = per_reader <= BOUND_PER_READER
    return result, held_bound and not truncated


def _make_readers(chance: random.Random) -> list[Reader]:
    """Return how each reader reads: one in four stops for a time."""
    readers = []
    for number in range(READERS):
        slow = Reader(
            piece=chance.randrange(24_000, 40_000),
            wait_s=chance.uniform(0.15, 0.3),
        )
        if number % 4 == 0:
            slow = dataclasses.replace(
                slow,
                wait_s=0.05,
                stop_at=chance.randrange(20_000, 60_000),
                stop_s=chance.uniform(3, 5) * STALL_S,
            )
        readers.append(slow)
    return readers


def _load(vm: Vm, readers: list[Reader]) -> tuple[list[bytes], list[float]]:
    """Return the slow readers' answers and the quick readers' times."""
    with concurrent.futures.ThreadPoolExecutor(len(readers)) as pool:
        pending = [
            pool.submit(_read_chat, vm, f'plan {number}', reader)
            for number, reader in enumerate(readers)
        ]
        time.sleep(2)
        beside = _quick_times(vm, QUICK_RUNS)
        return [one.result() for one in pending], beside


def _read_chat(vm: Vm, words: str, reader: Reader) -> bytes:
    """Return the answer of a long request, read slowly, or what came."""
    with _connect(vm) as sock:
        body = _chat_body(words, TOKENS, TOKEN_BYTES)
        sock.sendall(_chat_head(len(body)) + body)
        return _unchunk(_read(sock, reader))


def _quick_times(vm: Vm, runs: int) -> list[float]:
    """Return the seconds of short answers that are read at once."""
    times = []
    quick = Reader(65_536, 0)
    for number in range(runs):
        began = time.monotonic()
        body = _chat_body(f'label {number}', QUICK_TOKENS, 0)
        with _connect(vm) as sock:
            sock.sendall(_chat_head(len(body)) + body)
            answer = _unchunk(_read(sock, quick))
        if not is_complete_answer(answer, QUICK_TOKENS):
            raise RuntimeError(f'quick answer {answer!r}')
        times.append(time.monotonic() - began)
    return times


def _connect(vm: Vm) -> socket.socket:
    """Return a connection that buffers little for its reader."""
    host, _, port = vm.caller_address.rpartition(':')
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    sock.settimeout(_TIMEOUT_S)
    sock.connect((host, int(port)))
    return sock


def _chat_body(words: str, tokens: int, token_bytes: int) -> bytes:
    """Return the body of a streamed chat completion."""
    return json.dumps({
        'model': 'assistant',
        'messages': [{'role': 'user', 'content': words}],
        'max_tokens': tokens,
        'stream': True,
        'standin_token_bytes': token_bytes,
    }).encode()


def _chat_head(length: int) -> bytes:
    """Return the head of a request whose connection ends with it."""
    return (
        'POST /v1/chat/completions HTTP/1.1\r\nHost: router\r\n'
        'Authorization: Bearer token-bakers\r\nConnection: close\r\n'
        f'Content-Type: application/json\r\nContent-Length: {length}\r\n\r\n'
    ).encode()


def _read(sock: socket.socket, reader: Reader) -> bytes:
    """Return all that comes, read as the reader does."""
    answer = bytearray()
    stopped = not reader.stop_s
    while piece := _receive(sock, reader.piece):
        answer.extend(piece)
        time.sleep(reader.wait_s * len(piece) / reader.piece)
        if not stopped and len(answer) > reader.stop_at:
            stopped = True
            time.sleep(reader.stop_s)
    return bytes(answer)


def _receive(sock: socket.socket, size: int) -> bytes:
    """Return the next bytes, none at the end or if the connection broke."""
    try:
        return sock.recv(size)
    except OSError:
        return b''


def _unchunk(answer: bytes) -> bytes:
    """Return the body of a chunked answer, as far as it came."""
    rest = answer.partition(b'\r\n\r\n')[2]
    body = bytearray()
    while rest:
        size, _, rest = rest.partition(b'\r\n')
        length = int(size or b'0', 16)
        body.extend(rest[:length])
        rest = rest[length + 2 :]
    return bytes(body)


def _measure_baseline(
    targets: Targets,
    chance: random.Random,
) -> dict[str, int]:
    """Return what an unbounded relay holds for fewer such readers."""
    held = HeldBytes()
    engines = list(targets.engines.values())
    body = _chat_body('plan', TOKENS, TOKEN_BYTES)
    relays = [
        UnboundedRelay(
            engines[number % len(engines)].server.url,
            f'baseline-{number}',
            body,
            held,
        )
        for number in range(BASELINE_READERS)
    ]
    readers = _make_readers(chance)
    with concurrent.futures.ThreadPoolExecutor(len(relays)) as pool:
        for relay, reader in zip(relays, readers, strict=False):
            pool.submit(_read, relay.socket, reader)
    return {
        'readers': BASELINE_READERS,
        'bytes_held_peak': held.peak,
        'bytes_held_per_reader': held.peak // BASELINE_READERS,
    }


class _Peak:
    """Samples a process's resident memory while its block runs."""

    def __init__(self, pid: int) -> None:
        """Watch a process."""
        self.bytes = 0
        self._pid = pid
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._sample, daemon=True)

    def __enter__(self) -> Self:
        """Start to sample."""
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Stop to sample."""
        self._stop.set()
        self._thread.join()

    def _sample(self) -> None:
        """Keep the peak until stopped."""
        while not self._stop.wait(0.1):
            self.bytes = max(self.bytes, _resident(self._pid))


def _resident(pid: int) -> int:
    """Return the resident memory of a process, bytes."""
    text = pathlib.Path(f'/proc/{pid}/statm').read_text(encoding='ascii')
    return int(text.split()[1]) * _PAGE
