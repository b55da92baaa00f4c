"""Callers of the demonstration."""

import asyncio
import collections
import dataclasses
import json
import random

from measurements.demo_site import DemoSite
from standins.platform_caller import Call, Reply, call_once

CALLERS = 24
PAUSE_S = (0.02, 0.25)
OUTPUT_TOKENS = 40
PATHS = ('/plan/', '/ask/', '/order/', '/look/')
WEIGHTS = (3, 3, 2, 2)

_OK = 200


@dataclasses.dataclass(slots=True)
class Counts:
    """
    What the callers saw.

    :ivar refusals: refusals by code and run state.
    :ivar not_run: request ids whose refusal said that they were not run.
    :ivar orders: ids of orders, with whether a success came.
    """

    requests: int = 0
    answered: int = 0
    cut: int = 0
    crossed: int = 0
    refusals: collections.Counter[tuple[int, str]] = dataclasses.field(
        default_factory=collections.Counter,
    )
    not_run: list[str] = dataclasses.field(default_factory=list)
    orders: dict[str, bool] = dataclasses.field(default_factory=dict)


class Traffic:
    """Callers that ask engines and place orders."""

    def __init__(self, site: DemoSite, seed: int) -> None:
        """Prepare callers whose choices follow from a seed."""
        self.counts = Counts()
        self._site = site
        self._seed = seed
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = False

    def start(self) -> None:
        """Let all callers begin."""
        self._tasks = [
            asyncio.create_task(self._call_often(number))
            for number in range(CALLERS)
        ]

    async def stop(self) -> None:
        """Wait until each caller has its last answer."""
        self._stopping = True
        await asyncio.gather(*self._tasks)

    async def _call_often(self, number: int) -> None:
        """Call again and again."""
        chance = random.Random(self._seed * CALLERS + number)
        ports = list(self._site.ports.values())
        turn = 0
        while not self._stopping:
            turn += 1
            path = chance.choices(PATHS, WEIGHTS)[0]
            call = _make_call(path, f'{number}-{turn}', chance)
            self.counts.requests += 1
            reply = await call_once(chance.choice(ports), call)
            self._note(path, call.request_id, reply)
            await asyncio.sleep(chance.uniform(*PAUSE_S))

    def _note(self, path: str, request_id: str, reply: Reply) -> None:
        """Count a reply."""
        counts = self.counts
        if path == '/order/':
            counts.orders[request_id] = reply.status == _OK and reply.complete
        if not reply.complete:
            counts.cut += 1
        elif reply.headers.get('x-response-seal'):
            counts.answered += 1
            counts.crossed += (
                f'mac-{request_id}' != (reply.headers['x-response-seal'])
            )
        else:
            error = json.loads(reply.body)['error']
            counts.refusals[error['code'], error['run_state']] += 1
            if error['run_state'] == 'not_run':
                counts.not_run.append(request_id)


def _make_call(path: str, request_id: str, chance: random.Random) -> Call:
    """Return one client attempt."""
    account = f'account-{chance.randrange(10)}'
    part = chance.randrange(40)
    prompt = chance.randint(200, 1500)
    extra = {
        'x_token_count': f'{prompt},{OUTPUT_TOKENS}',
        'x_prompt_prefix': f'{part:x}:100,{request_id.encode().hex()}:100',
    }
    engine = path in {'/plan/', '/ask/'}
    return Call(
        f'{path}{part}',
        key=f'key-{account}',
        request_id=request_id,
        extra_headers=extra if engine else {},
    )
