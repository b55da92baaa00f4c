"""Watches the platform: the configuration's head and the list of VMs."""

import asyncio
import concurrent.futures
import urllib.parse
from collections.abc import Callable

from fuchsiafork.adapters.store import StoreClient
from fuchsiafork.adapters.store_wire import StoreCallError
from fuchsiafork.adapters.vm_list import VmListClient, VmListError, VmState
from fuchsiafork.configuration import HEAD_KEY
from fuchsiafork.keeper.composition import Systems
from fuchsiafork.settings import StoreSettings, VmListSettings

VM_LIST_INTERVAL_S = 2.0
# A watch counts as a call while it waits, so a keeper that does not read
# the head for its failure domain holds none.
_TURN_INTERVAL_S = 0.5
_WATCH_IDLE_S = 10.0

_Act = Callable[[Callable[[], None]], None]


class PlatformWatch:
    """Passes changes of the platform on to the systems."""

    def __init__(
        self,
        systems: Systems,
        store: StoreSettings,
        vm_list: VmListSettings,
        act: _Act,
    ) -> None:
        """Run every action on the systems through ``act``."""
        self._systems = systems
        self._store = store
        self._vm_list = vm_list
        self._act = act
        self._threads = concurrent.futures.ThreadPoolExecutor(
            2,
            thread_name_prefix='platform',
        )

    async def run(self, stopped: Callable[[], bool]) -> None:
        """Watch until stopped."""
        await asyncio.gather(
            self._watch_head(stopped),
            self._read_vm_list(stopped),
        )
        self._threads.shutdown(wait=False, cancel_futures=True)

    async def _watch_head(self, stopped: Callable[[], bool]) -> None:
        """Hold a watch while it is this keeper's turn to read the head."""
        loop = asyncio.get_running_loop()
        while not stopped():
            if self._systems.configuration.reads_head:
                await loop.run_in_executor(
                    self._threads,
                    self._watch_once,
                    loop,
                    stopped,
                )
            await asyncio.sleep(_TURN_INTERVAL_S)

    def _watch_once(
        self,
        loop: asyncio.AbstractEventLoop,
        stopped: Callable[[], bool],
    ) -> None:
        """Pass on changes of the head until the watch ends."""
        client = StoreClient(self._store.urls, self._store.timeout_s)
        events = client.watch(HEAD_KEY, 0, idle_s=_WATCH_IDLE_S)
        try:
            for event in events:
                if stopped() or not self._systems.configuration.reads_head:
                    break
                loop.call_soon_threadsafe(self._tell_head, event.revision)
        except StoreCallError:
            # The periodic read of the head goes on without a watch.
            return
        finally:
            client.close()

    def _tell_head(self, revision: int) -> None:
        """Tell the configuration that the head has changed."""
        configuration = self._systems.configuration
        self._act(lambda: configuration.head_changed(revision))

    async def _read_vm_list(self, stopped: Callable[[], bool]) -> None:
        """Tell the dispatch which targets' VMs are leaving."""
        if self._vm_list.url is None:
            return
        client = VmListClient(self._vm_list.url)
        loop = asyncio.get_running_loop()
        while not stopped():
            if self._systems.dispatch.targets:
                await loop.run_in_executor(
                    self._threads,
                    self._read_once,
                    client,
                    loop,
                )
            await asyncio.sleep(VM_LIST_INTERVAL_S)

    def _read_once(
        self,
        client: VmListClient,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Read the list; without an answer the last one stands."""
        try:
            listed = client.fetch()
        except VmListError:
            return
        leaving = {vm.address for vm in listed if vm.state is VmState.LEAVING}
        loop.call_soon_threadsafe(self._tell_leaving, leaving)

    def _tell_leaving(self, addresses: set[str]) -> None:
        """Tell the dispatch the names of the targets at some addresses."""
        names = {
            name
            for name, target in self._systems.document.targets.items()
            if urllib.parse.urlsplit(target.url).hostname in addresses
        }
        self._systems.leaving_targets = names
