"""A part of prompts crashes each replica that begins to write an answer."""

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

from client import call, request_bytes  # noqa: E402
from harness import (  # noqa: E402
    BROKEN, HELD, NOT_RUN, TROUBLE, Site, configuration, route, run_case,
)
from replica import Replica  # noqa: E402

REPLICAS = 4
POISON = 'badbadba'
FIRST_PART = 'f1f1f1f1'
STABLE_WINDOW_S = 3.0
BACK_AFTER_S = 3.0
SOUND_PER_S = 10.0
POISONED_PER_S = 4.0
QUIET_S = 8.0
LOAD_S = 35.0
LARGEST_COUNT = 3


class PoisonedReplica(Replica):
    """Crashes once it has begun to write an answer on the part."""

    async def run(self, request_id, headers, writer):
        if not TROUBLE or POISON not in headers.get('x-prompt-prefix', ''):
            await super().run(request_id, headers, writer)
            return
        await asyncio.sleep(0.05)
        self.write_head(request_id, writer)
        self.write_event(1, writer)
        await writer.drain()
        await asyncio.sleep(0.01)
        if not self.up:
            return
        self.site.crash_times.append(time.monotonic())
        self.site.record(
            f'{self.replica_id} crashes under {request_id} '
            f'(crash {len(self.site.crash_times)})'
        )
        self.crash()
        task = asyncio.create_task(self.restart_later(BACK_AFTER_S))
        self.site.tasks.add(task)


async def send(site, gateway, request_id, parts, answers):
    """Send one request and record its answer."""
    data = request_bytes(
        '/plan/1', request_id,
        headers=(
            ('X-Model', 'm'), ('X-Token-Count', '900,50'),
            ('X-Prompt-Prefix', parts),
        ),
    )
    sent_at = time.monotonic()
    answer = await call(gateway, data)
    answers.append((sent_at, request_id, answer))
    site.record(
        f'{request_id} at {gateway.name}: {answer.status} '
        f'complete={answer.complete} events={answer.body.count(b"id:")}'
    )


async def load(site, answers, ends_at, per_s, name, parts):
    """Send requests at random times."""
    tasks = set()
    number = 0
    while time.monotonic() < ends_at:
        await asyncio.sleep(random.expovariate(per_s))
        number += 1
        request_id = f'{name}-{number}'
        prompt = parts(number)
        gateway = random.choice(site.gateways)
        tasks.add(asyncio.create_task(
            send(site, gateway, request_id, prompt, answers)
        ))
    await asyncio.gather(*tasks)


def sound_parts(number):
    return f'{FIRST_PART}:300,{number % 40:08x}:500,{number + 5000:08x}:100'


def poisoned_parts(number):
    return f'{FIRST_PART}:300,{POISON}:500,{number + 900000:08x}:100'


async def main(folder):
    site = Site(folder)
    site.crash_times, site.tasks = [], set()
    try:
        plan = route('/plan/', 'streaming', 'mind', sessionAffinity=True)
        await site.start(
            configuration([plan], [{'name': 'mind', 'engine': {'stride': 5}}]),
            {},
        )
        zones = ('a', 'b')
        replicas = [
            PoisonedReplica(site, f'i-{n}', 'mind', zones[n % 2])
            for n in range(REPLICAS)
        ]
        for replica in replicas:
            await replica.start()
        for zone in zones:
            site.add_gateway(f'front-{zone}-1', zone)
        for gateway in site.gateways:
            await gateway.wait_ready()
        sound, poisoned = [], []
        now = time.monotonic()
        poison_from = now + STABLE_WINDOW_S + QUIET_S
        ends_at = poison_from + LOAD_S
        sounds = asyncio.create_task(
            load(site, sound, ends_at, SOUND_PER_S, 'sound', sound_parts)
        )
        await asyncio.sleep(poison_from - time.monotonic())
        site.record('requests with the part begin')
        await load(
            site, poisoned, ends_at, POISONED_PER_S, 'poisoned',
            poisoned_parts,
        )
        await sounds
        return judge(site, replicas, sound, poisoned, poison_from, ends_at)
    finally:
        site.stop()


def judge(site, replicas, sound, poisoned, poison_from, ends_at):
    """Return the result by the rules BUDGET and LOST of the news."""
    crashes = site.crash_times
    site.record(f'{len(crashes)} crashes')
    before = [a for t, _, a in sound if t < poison_from]
    served_before = sum(a.complete and a.status == 200 for a in before)
    site.record(f'sound before: {served_before} of {len(before)} served')
    if not TROUBLE:
        served = sum(a.complete and a.status == 200 for _, _, a in sound)
        site.record(f'sound: {served} of {len(sound)} served')
        return HELD if served == len(sound) else BROKEN
    if len(crashes) < 5 or not served_before:
        return HELD if served_before else NOT_RUN
    from_s = crashes[4] + STABLE_WINDOW_S
    sent = {request_id: t for t, request_id, _ in poisoned}
    reached = [
        request_id
        for replica in replicas
        for t, request_id in replica.arrivals
        if request_id in sent and sent[request_id] > from_s
    ]
    site.record(
        f'BUDGET: {len(reached)} requests with the part reached replicas '
        f'later than {STABLE_WINDOW_S} s after the fifth crash; '
        f'{LARGEST_COUNT} are allowed: {reached}'
    )
    lost_from = crashes[4] + 2 * STABLE_WINDOW_S
    late = [a for t, _, a in sound if lost_from < t < ends_at]
    begun = sum(a.status == 200 for a in late)
    site.record(
        f'LOST: from 2 x {STABLE_WINDOW_S} s after the fifth crash '
        f'{begun} of {len(late)} sound requests began'
    )
    enough = len(before) >= 20 and len(late) >= 20
    share_before = served_before / max(1, len(before))
    starved = enough and begun < 0.5 * share_before * len(late)
    return BROKEN if starved or len(reached) > LARGEST_COUNT else HELD


if __name__ == '__main__':
    run_case(main, FOLDER)
