"""Load of process tests with faults, and checks against the stand-ins."""

import collections
import dataclasses
import json
import random
import threading
import time

import urllib3

from fuchsiafork.budgets import decode_record
from fuchsiafork.budgets.ledger import BudgetRow, Record
from standins.deployment import (
    CallerClient,
    have_distinct_request_ids,
    is_complete_answer,
)
from standins.fleet import Targets, Vm
from standins.store_server import StoreServer

# Delay of a caller after a refused or broken call.
RETRY_DELAY_S = 0.05


@dataclasses.dataclass(slots=True)
class Outcome:
    """
    Outcome of one call at its caller.

    :ivar ended_at: monotonic time of the end of the call, in seconds.
    :ivar status: HTTP status, 0 for a connection that broke.
    :ivar tokens: number of tokens requested.
    :ivar code: error code of a refusal, 0 without one.
    """

    vm: str
    account: str
    ended_at: float
    status: int
    tokens: int
    body: bytes
    code: int = 0
    run_state: str = ''

    @property
    def request_id(self) -> str:
        """The request id in the tokens of the answer."""
        start = self.body.partition(b'"content": "')[2]
        return start.partition(b' ')[0].rpartition(b'.')[0].decode()


class LoadGenerator:
    """Callers in threads that send calls until they are stopped."""

    def __init__(self, vms: list[Vm], accounts: list[str], seed: int) -> None:
        """Create a caller for each pair of VM and client account."""
        self.outcomes: list[Outcome] = []
        self._vms = vms
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(
                target=self._run_caller,
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
        Stop the callers and wait until their last calls have ended.

        :raises TimeoutError: if a call doesn't end within ``timeout_s``.
        """
        self._stopped.set()
        deadline = time.monotonic() + timeout_s
        for thread in self._threads:
            thread.join(max(0, deadline - time.monotonic()))
        if any(thread.is_alive() for thread in self._threads):
            raise TimeoutError('a call is still in progress')

    def answered(self, vm: str = '', since: float = 0) -> list[Outcome]:
        """Return the successful calls, optionally of one VM or since a time."""
        return [
            one
            for one in tuple(self.outcomes)
            if one.status == 200
            and one.vm.startswith(vm)
            and one.ended_at >= since
        ]

    def truncated_answers(self) -> list[Outcome]:
        """Return the successful answers that lack tokens or the end mark."""
        return [
            one
            for one in self.answered()
            if not is_complete_answer(one.body, one.tokens)
        ]

    def has_crossed_answers(self) -> bool:
        """Return whether two answers carry tokens of the same request."""
        return not have_distinct_request_ids(
            one.body for one in self.answered()
        )

    def error_codes(self) -> dict[int, int]:
        """Return the number of calls by error code, 0 for no error."""
        return dict(collections.Counter(one.code for one in self.outcomes))

    def _run_caller(self, vm: Vm, account: str, rng: random.Random) -> None:
        """Send calls until stopped."""
        caller = CallerClient(account)
        while not self._stopped.is_set():
            tokens = rng.randint(2, 60)
            outcome = self._send_call(caller, vm, account, tokens)
            self.outcomes.append(outcome)
            if outcome.status != 200:
                self._stopped.wait(RETRY_DELAY_S)

    def _send_call(
        self, caller: CallerClient, vm: Vm, account: str, tokens: int
    ) -> Outcome:
        """Send one call and return its outcome."""
        prompt = f'dough question {tokens}'
        try:
            answer = caller.chat(vm.url, prompt, tokens)
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
    """Return the budgets of all shards, unaffected by injected store faults."""
    return {
        name: row
        for record in read_records(store)
        for name, row in record.budgets.items()
    }


def read_records(store: StoreServer) -> list[Record]:
    """Return the ledger records of all shards."""
    application = store.application
    with application.changed:
        rows = application.model.list_prefix('ledger/')
    return [decode_record(value) for _, _, value in rows]


def billed_tokens(store: StoreServer) -> int:
    """Return the number of tokens that the ledger counts as used."""
    rows = read_ledger(store).values()
    return sum(row.settled + row.duplicate for row in rows)


def wait_until_billed(
    store: StoreServer,
    targets: Targets,
    timeout_s: float,
    service_tokens: int = 0,
) -> tuple[int, int]:
    """
    Wait until ledger and targets count the same tokens, or for the timeout.

    :param service_tokens: tokens billed for calls of plain services.
    :return: the tokens that the ledger counts and that the targets count.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        counts = billed_tokens(store), targets.used_tokens() + service_tokens
        if counts[0] == counts[1] or time.monotonic() > deadline:
            return counts
        time.sleep(0.1)


def overloaded_engines(targets: Targets) -> list[str]:
    """Return the engines with more concurrent streams than their capacity."""
    return [
        name
        for name, engine in targets.engines.items()
        if engine.model.counts['fell_over']
        or engine.model.max_active > engine.model.settings.capacity
    ]
