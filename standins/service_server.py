"""HTTP stand-in of a plain service that counts executions."""

import collections
import threading
import time

from standins.http_server import Call, Result, StandinServer, json_result


class ServiceServer:
    """
    Answers any call and counts its execution.

    :ivar delay_s: execution time of a call, in seconds.
    :ivar fail: whether calls are executed and answered with status 500.
    :ivar leaving: whether the load report says that it isn't ready.
    :ivar executions: number of executions by request id.
    :ivar keys: number of executions by idempotency key.
    """

    def __init__(
        self,
        name: str,
        version: str = 'v1',
        capacity: int = 16,
        port: int = 0,
    ) -> None:
        """Create a server on loopback; port 0 selects a free port."""
        self.name = name
        self.version = version
        self.capacity = capacity
        self.delay_s = 0.0
        self.fail = False
        self.leaving = False
        self.max_running = 0
        self.executions: collections.Counter[str] = collections.Counter()
        self.keys: collections.Counter[str] = collections.Counter()
        self.server = StandinServer(self._handle, port)
        self._running = 0
        self._started_at = time.monotonic()
        self._lock = threading.Lock()

    def _handle(self, call: Call) -> Result:
        """Answer one call."""
        if call.path == '/load':
            return self._load()
        if call.path.startswith('/v1/requests/'):
            return self._record(call.path.removeprefix('/v1/requests/'))
        return self._execute(call)

    def _execute(self, call: Call) -> Result:
        """Execute a call and count it."""
        request_id = call.headers.get('x-request-id', '')
        with self._lock:
            self._running += 1
            self.max_running = max(self.max_running, self._running)
            self.executions[request_id] += 1
            self.keys[call.headers.get('idempotency-key', '')] += 1
        try:
            time.sleep(self.delay_s)
        finally:
            with self._lock:
                self._running -= 1
        echo = (('X-Request-Id', request_id),)
        if self.fail:
            return json_result({'error': 'failed'}, 500, echo)
        answer = {'request': request_id, 'path': call.path}
        return json_result(answer, headers=echo)

    def _load(self) -> Result:
        """Return the load report."""
        with self._lock:
            running = self._running
        return json_result({
            'identity': self.name,
            'version': self.version,
            'ready': not self.leaving,
            'running': running,
            'capacity': self.capacity,
        })

    def _record(self, request_id: str) -> Result:
        """Return whether a request was executed."""
        known = self.executions[request_id] > 0
        return json_result({
            'state': 'done' if known else 'unknown',
            'memory_s': time.monotonic() - self._started_at,
        })
