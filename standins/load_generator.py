"""Callers for process tests with faults, and what the stand-ins counted."""

import collections
import dataclasses
import json
import random
import threading
import time

import urllib3

from fuchsiafork.budgets import decode_record
from fuchsiafork.budgets.ledger import BudgetRow, Record
from standins.deployment import CallerClient, distinct_ids, whole_answer
from standins.fleet import Targets, Vm
from standins.store_server import StoreServer

# A caller that was refused or cut off asks again after this time.
PAUSE_S = 0.05


@dataclasses.dataclass(slots=True)
class Outcome:
    """
    One call as its caller saw it.

    :ivar at: local clock time of its end, seconds.
    :ivar status: HTTP status, 0 for a connection that broke.
    :ivar code: error code of a refusal, 0 without one.
    """

    vm: str
    account: str
    at: float
    status: int
    tokens: int
    body: bytes
    code: int = 0
    run_state: str = ''

    @property
    def request_id(self) -> str:
        """The request that the answer's tokens name."""
        start = self.body.partition(b'"content": "')[2]
        return start.partition(b' ')[0].rpartition(b'.')[0].decode()


class FaultLoad:
    """Callers that keep asking until they are told to stop."""

    def __init__(self, vms: list[Vm], accounts: list[str], seed: int) -> None:
        """Ask every VM for every account."""
        self.outcomes: list[Outcome] = []
        self._vms = vms
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(
                target=self._ask_on,
                args=(vm, account, random.Random(f'{seed} {vm} {account}')),
                daemon=True,
            )
            for vm in vms
            for account in accounts
        ]

    def start(self) -> None:
        """Start every caller."""
        for thread in self._threads:
            thread.start()

    def stop(self, timeout_s: float = 40) -> None:
        """
        Stop every caller and wait until its last call has ended.

        :raises TimeoutError: if a call doesn't end in time.
        """
        self._stopped.set()
        deadline = time.monotonic() + timeout_s
        for thread in self._threads:
            thread.join(max(0, deadline - time.monotonic()))
        if any(thread.is_alive() for thread in self._threads):
            raise TimeoutError('a caller still waits for its answer')

    def answered(self, vm: str = '', since: float = 0) -> list[Outcome]:
        """Return the calls that were answered, of one VM if it is named."""
        return [
            one
            for one in tuple(self.outcomes)
            if one.status == 200 and one.vm.startswith(vm) and one.at >= since
        ]

    def broken_answers(self) -> list[Outcome]:
        """Return the answers that lack tokens or their end."""
        return [
            one
            for one in self.answered()
            if not whole_answer(one.body, one.tokens)
        ]

    def crossed(self) -> bool:
        """Return whether two answers name the same request."""
        return not distinct_ids(one.body for one in self.answered())

    def codes(self) -> dict[int, int]:
        """Return how many calls ended with each code, 0 for none."""
        return dict(collections.Counter(one.code for one in self.outcomes))

    def _ask_on(self, vm: Vm, account: str, chance: random.Random) -> None:
        """Ask until stopped."""
        caller = CallerClient(account)
        while not self._stopped.is_set():
            tokens = chance.randint(2, 60)
            outcome = self._ask(caller, vm, account, tokens)
            self.outcomes.append(outcome)
            if outcome.status != 200:
                self._stopped.wait(PAUSE_S)

    def _ask(
        self, caller: CallerClient, vm: Vm, account: str, tokens: int
    ) -> Outcome:
        """Return the outcome of one call."""
        words = f'dough question {tokens}'
        try:
            answer = caller.chat(vm.url, words, tokens)
        except urllib3.exceptions.HTTPError:
            return Outcome(vm.name, account, time.monotonic(), 0, tokens, b'')
        now = time.monotonic()
        outcome = Outcome(
            vm.name, account, now, answer.status, tokens, answer.data
        )
        if answer.status != 200:
            error = json.loads(answer.data)['error']
            outcome.code = error['code']
            outcome.run_state = error['run_state']
        return outcome


def read_ledger(store: StoreServer) -> dict[str, BudgetRow]:
    """Return the budgets of all shards, read past the store's faults."""
    return {
        name: row
        for record in read_records(store)
        for name, row in record.budgets.items()
    }


def read_records(store: StoreServer) -> list[Record]:
    """Return the records of all shards."""
    application = store.application
    with application.changed:
        rows = application.model.list_prefix('ledger/')
    return [decode_record(value) for _, _, value in rows]


def billed(store: StoreServer) -> int:
    """Return the tokens that the ledger counts as used."""
    rows = read_ledger(store).values()
    return sum(row.settled + row.duplicate for row in rows)


def wait_billed(
    store: StoreServer,
    targets: Targets,
    timeout_s: float,
    more: int = 0,
) -> tuple[int, int]:
    """
    Return the ledger's and the targets' count, once equal or too late.

    :param more: tokens that plain services were paid for.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        counts = billed(store), targets.spent() + more
        if counts[0] == counts[1] or time.monotonic() > deadline:
            return counts
        time.sleep(0.1)


def overfilled(targets: Targets) -> list[str]:
    """Return the engines that held more streams than they have room for."""
    return [
        name
        for name, engine in targets.engines.items()
        if engine.model.counts['fell_over']
        or engine.model.max_active > engine.model.settings.capacity
    ]
