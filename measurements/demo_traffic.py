"""Callers of the demonstration."""

import collections
import dataclasses
import json
import random
import threading

import urllib3

from measurements.demo_site import Site
from standins.deployment import distinct_ids

CALLERS = 12
ORDER_SHARE = 0.3
PAUSE_S = (0.02, 0.12)
CALL_TIMEOUT_S = 20.0
MAX_TOKENS = 24


@dataclasses.dataclass(slots=True)
class Counts:
    """
    What the callers saw.

    :ivar refusals: refusals by code and run state.
    :ivar not_run: request ids whose refusal said that they were not run.
    :ivar order_keys: keys of orders, with whether an answer came.
    """

    requests: int = 0
    answered: int = 0
    truncated: int = 0
    broken: int = 0
    refusals: collections.Counter[tuple[int, str]] = dataclasses.field(
        default_factory=collections.Counter,
    )
    not_run: list[str] = dataclasses.field(default_factory=list)
    bodies: list[bytes] = dataclasses.field(default_factory=list)
    order_keys: dict[str, bool] = dataclasses.field(default_factory=dict)


class Traffic:
    """Threads that ask assistants and place orders."""

    def __init__(self, site: Site, seed: int) -> None:
        """Prepare callers whose choices follow from a seed."""
        self.counts = Counts()
        self._site = site
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._pool = urllib3.PoolManager(
            retries=False,
            timeout=CALL_TIMEOUT_S,
            maxsize=CALLERS,
        )
        self._threads = [
            threading.Thread(target=self._call_often, args=(seed, number))
            for number in range(CALLERS)
        ]

    def start(self) -> None:
        """Start all callers."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Let every caller end its last request."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    @property
    def crossed(self) -> bool:
        """Whether an answer held another request's tokens."""
        return not distinct_ids(self.counts.bodies)

    def _call_often(self, seed: int, number: int) -> None:
        """Send one request after the other."""
        chance = random.Random(f'{seed}/{self._site.name}/{number}')
        accounts = self._site.accounts()
        serial = 0
        while not self._stop.is_set():
            serial += 1
            account = chance.choice(accounts)
            vm = chance.choice(self._site.vms)
            if chance.random() < ORDER_SHARE:
                self._order(chance, account, vm.url, f'{number}-{serial}')
            else:
                self._ask(chance, account, vm.url)
            self._stop.wait(chance.uniform(*PAUSE_S))

    def _ask(self, chance: random.Random, account: str, url: str) -> None:
        """Ask an assistant; half of the callers read a stream."""
        tokens = chance.randint(4, MAX_TOKENS)
        streamed = chance.random() < 0.5
        body = {
            'model': chance.choice(self._site.routes('engine')),
            'messages': [{'role': 'user', 'content': 'how long to proof?'}],
            'max_tokens': tokens,
            'stream': streamed,
            'user': account,
        }
        answer = self._send('POST', f'{url}/v1/chat/completions', account, body)
        if answer is None or answer.status != 200 or not streamed:
            return
        whole = answer.data.count(b'"content"') == tokens
        with self._lock:
            if whole:
                self.counts.bodies.append(answer.data)
            else:
                self.counts.truncated += 1

    def _order(
        self,
        chance: random.Random,
        account: str,
        url: str,
        serial: str,
    ) -> None:
        """Place an order under a key, once more if no answer came."""
        route = chance.choice(self._site.routes('service'))
        key = f'{account}|{route}|{serial}'
        target = f'{url}/v1/services/{route}/new'
        for _ in range(2):
            answer = self._send('POST', target, account, {}, key)
            done = answer is not None and answer.status == 200
            with self._lock:
                self.counts.order_keys[key] = done
            if done:
                return

    def _send(
        self,
        method: str,
        url: str,
        account: str,
        body: dict[str, object],
        key: str = '',
    ) -> urllib3.BaseHTTPResponse | None:
        """Return the answer, or None if the connection broke."""
        headers = {'Authorization': f'Bearer sample-token-{account}'}
        if key:
            headers['Idempotency-Key'] = key
        try:
            answer = self._pool.request(method, url, headers=headers, json=body)
        except urllib3.exceptions.HTTPError:
            with self._lock:
                self.counts.requests += 1
                self.counts.broken += 1
            return None
        with self._lock:
            self._note(answer)
        return answer

    def _note(self, answer: urllib3.BaseHTTPResponse) -> None:
        """Count an answer or a refusal."""
        counts = self.counts
        counts.requests += 1
        if answer.status == 200:
            counts.answered += 1
            return
        refusal = json.loads(answer.data)
        error = refusal['error']
        counts.refusals[error['code'], error['run_state']] += 1
        if error['run_state'] == 'not_run':
            counts.not_run.append(refusal['request_id'])
