"""One deployment of the demonstration: programs and stand-ins."""

import concurrent.futures
import configparser
import datetime as dt
import math
import pathlib
import time
from collections.abc import Iterable
from typing import Any

from fuchsiafork.adapters.store import StoreClient
from fuchsiafork.keeper.program import KeeperProgram
from fuchsiafork.kernel import outbox
from fuchsiafork.kernel.outbox import failed
from fuchsiafork.observability.logs import configure_logs
from fuchsiafork.router.program import RouterProgram
from fuchsiafork.settings import KeeperSettings, RouterSettings
from standins.deployment import Sections, apply_sections
from standins.engine_types import EngineSettings
from standins.engine_versions import VersionBehaviour
from standins.fleet import (
    Targets,
    Vm,
    keeper_settings,
    make_vms,
    router_settings,
)
from standins.store_server import StoreServer

BAD_VERSION = 'assistant-2'
GOOD_VERSION = 'assistant-1'
ROUTER_THREADS = 24
READY_TIMEOUT_S = 15.0
# Small enough that some requests of it are refused in the demonstration.
SMALL_BUDGET_TOKENS = 6000

_SAMPLES = pathlib.Path(__file__).parent.parent / 'samples'
_ROLLOUT_ROUTES = {'qalyub': 'loaf-labels', 'kilele': 'damage-tags'}
_SMALL_BUDGETS = {'qalyub': 'small-ovens', 'kilele': 'franchises'}


class CutStore:
    """The key-value service as a keeper sees it, which can be cut off."""

    def __init__(self, url: str) -> None:
        """Call the service at an address."""
        self.cut = False
        self._client = StoreClient([url])

    def execute(self, operation: outbox.StoreOperation) -> outbox.StoreAnswer:
        """Return the answer, or none while cut off."""
        if self.cut:
            return failed(operation, unknown=False)
        return self._client.execute(operation)


class Site:
    """Keepers and routers of a sample, with its targets."""

    def __init__(self, name: str, sections: Sections) -> None:
        """Prepare the stand-ins for a sample's sections."""
        self.name = name
        self.sections = sections
        self.domains = sorted(
            {
                row['domain']
                for title, row in sections.items()
                if title.startswith('target:')
            },
        )
        per_domain = 2 if len(self.domains) < 4 else 1
        self.vms = make_vms(self.domains, per_domain)
        self.targets = Targets()
        self.store = StoreServer()
        self.stores = {vm.name: CutStore(self.store.url) for vm in self.vms}
        self.keepers = {vm.name: self._make_keeper(vm) for vm in self.vms}
        self.routers = {vm.name: self._make_router(vm) for vm in self.vms}
        self._cut_domain = ''

    def start(self) -> None:
        """Start everything and wait until all routers are ready."""
        self.store.start()
        self._start_targets()
        apply_sections(self.store.url, self.sections)
        for keeper in self.keepers.values():
            keeper.start()
        for router in self.routers.values():
            router.start()
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not all(router.ready for router in self.routers.values()):
            if time.monotonic() > deadline:
                raise TimeoutError(f'{self.name}: routers are not ready')
            time.sleep(0.1)

    def cut(self, domain: str) -> None:
        """Cut a failure domain off from the others and the platform."""
        self._cut_domain = domain
        for vm in self.vms:
            self.stores[vm.name].cut = vm.domain == domain

    def heal(self) -> None:
        """End the cut."""
        self._cut_domain = ''
        for store in self.stores.values():
            store.cut = False

    def stop(self) -> None:
        """End everything."""
        closing = [
            *(router.close for router in self.routers.values()),
            *(keeper.close for keeper in self.keepers.values()),
            self.targets.stop,
        ]
        with concurrent.futures.ThreadPoolExecutor(len(closing)) as threads:
            for ended in [threads.submit(close) for close in closing]:
                ended.result()
        self.store.stop()

    def verdict_wall(self) -> float:
        """Return the Unix time of the first bad verdict, infinite for none."""
        stamps = [
            event.stamp.wall_ms / 1000
            for keeper in self.keepers.values()
            for event in keeper.events.since(0)
            if event.kind == 'verdict_bad'
        ]
        return min(stamps, default=math.inf)

    def accounts(self) -> list[str]:
        """Return the client accounts of the sample."""
        return list(_names(self.sections, 'account'))

    def budget_of(self, account: str) -> str:
        """Return the budget that an account draws on."""
        return self.sections[f'account:{account}']['budget']

    def prepaid(self) -> dict[str, int]:
        """Return the prepaid tokens of each budget."""
        return {
            name: int(self.sections[f'budget:{name}']['opening_tokens'])
            for name in _names(self.sections, 'budget')
        }

    def routes(self, kind: str) -> list[str]:
        """Return the routes to engines or to services."""
        return [
            name
            for name in _names(self.sections, 'route')
            if self._kind_of(name) == kind
        ]

    def price(self, route: str) -> int:
        """Return the price of a service call in tokens."""
        return int(self.sections[f'route:{route}']['tokens_per_call'])

    def _kind_of(self, route: str) -> str:
        """Return the kind of a route's pool."""
        pool = self.sections[f'route:{route}']['pool']
        return self.sections[f'pool:{pool}']['kind']

    def _start_targets(self) -> None:
        """Start a stand-in for each target and put its address in."""
        for name in _names(self.sections, 'target'):
            row = self.sections[f'target:{name}']
            if row['version'].startswith('assistant'):
                self._start_engine(name, row['domain'], row['version'])
            else:
                self.targets.add_service(name, row['domain'], row['version'])
        for domain in self.domains:
            name = f'candidate-{domain}'
            self._start_engine(name, domain, BAD_VERSION)
        self.sections |= self.targets.sections()

    def _start_engine(self, name: str, domain: str, version: str) -> None:
        """Start an engine on which the new version fails."""
        engine = self.targets.add_engine(
            name,
            domain,
            version,
            EngineSettings(capacity=8, step_s=0.005, stream_s=0.0005),
        )
        engine.model.behaviours[BAD_VERSION] = VersionBehaviour(fail_share=0.9)

    def _make_keeper(self, vm: Vm) -> KeeperProgram:
        """Return a keeper whose links can be cut."""
        raw = keeper_settings(vm, self.vms, self.store.url)
        settings = KeeperSettings.model_validate(raw)
        keeper = KeeperProgram(settings, self.stores[vm.name])
        forward = keeper.hub.forward

        def forward_unless_cut(hop: str, *rest: Any) -> None:
            if not self._is_cut(vm.domain, hop):
                forward(hop, *rest)

        # The cut is made where a frame would leave the process.
        keeper.hub.forward = forward_unless_cut  # type: ignore[method-assign,assignment]
        return keeper

    def _make_router(self, vm: Vm) -> RouterProgram:
        """Return a router."""
        raw = router_settings(vm, self.vms, ROUTER_THREADS)
        return RouterProgram(RouterSettings.model_validate(raw))

    def _is_cut(self, domain: str, hop: str) -> bool:
        """Return whether the cut lies between a domain and a node."""
        vm = hop.partition('/')[0]
        other = next(one.domain for one in self.vms if one.name == vm)
        return domain != other and self._cut_domain in {domain, other}


def load_site(name: str) -> Site:
    """Return the site of a sample, with a rollout of a bad version."""
    configure_logs('error')
    parser = configparser.ConfigParser(interpolation=None)
    parser.read(_SAMPLES / f'{name}.ini', encoding='utf-8')
    sections = {
        title: dict(parser.items(title))
        for title in parser.sections()
        if not title.startswith('rollout:')
    }
    small = sections[f'budget:{_SMALL_BUDGETS[name]}']
    small['opening_tokens'] = str(SMALL_BUDGET_TOKENS)
    now = dt.datetime.now(dt.UTC)
    sections['rollout:demo'] = {
        'owner': 'models',
        'route': _ROLLOUT_ROUTES[name],
        'old': GOOD_VERSION,
        'new': BAD_VERSION,
        'start': now.isoformat(),
        'deadline': (now + dt.timedelta(minutes=5)).isoformat(),
    }
    return Site(name, sections)


def _names(sections: Sections, kind: str) -> Iterable[str]:
    """Yield the names of the sections of a kind."""
    for title in sections:
        if title.startswith(f'{kind}:'):
            yield title.partition(':')[2]
