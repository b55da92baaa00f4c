"""Watches the platform: the configuration's head and the list of VMs."""

import asyncio
import concurrent.futures
import threading
import urllib.parse
from collections.abc import Callable, Iterator

from fuchsiafork.adapters.store import StoreClient
from fuchsiafork.adapters.store_wire import WatchEvent
from fuchsiafork.adapters.vm_list import VmListClient, VmListError, VmState
from fuchsiafork.configuration import HeadWatcher
from fuchsiafork.keeper.composition import Systems
from fuchsiafork.settings import StoreSettings, VmListSettings

VM_LIST_INTERVAL_S = 2.0
# A watch counts as a call while it waits, so a keeper that does not read
# the head for its failure domain holds none.
_TURN_INTERVAL_S = 0.5
_WATCH_IDLE_S = 10.0

_Act = Callable[[Callable[[], None]], None]


class _HeadWatches:
    """Opens a client of its own for each watch, so that it can be closed."""

    def __init__(self, settings: StoreSettings) -> None:
        """Open nothing yet."""
        self._settings = settings
        self._client: StoreClient | None = None

    def watch(self, key: str, from_revision: int) -> Iterator[WatchEvent]:
        """Yield the writes to a key until the watch breaks or is closed."""
        client = StoreClient(self._settings.urls, self._settings.timeout_s)
        self._client = client
        return client.watch(key, from_revision, idle_s=_WATCH_IDLE_S)

    def close(self) -> None:
        """End the open watch, if any, when it is next idle."""
        if self._client is not None:
            self._client.close()
            self._client = None


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
        self._reads_head = False
        self._threads = concurrent.futures.ThreadPoolExecutor(
            1,
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
        ended = threading.Event()
        watches = _HeadWatches(self._store)

        def changed(revision: int) -> None:
            """Tell the loop of a change that the thread has seen."""
            loop.call_soon_threadsafe(self._tell_head, revision)

        watcher = HeadWatcher(
            watches,
            wanted=lambda: self._reads_head,
            changed=changed,
            stopped=ended,
        )
        # A waiting watch cannot be interrupted, so nobody joins the thread.
        threading.Thread(
            target=watcher.run,
            name='head-watch',
            daemon=True,
        ).start()
        while not stopped():
            self._reads_head = self._systems.configuration.reads_head
            if not self._reads_head:
                watches.close()
            await asyncio.sleep(_TURN_INTERVAL_S)
        ended.set()
        watches.close()

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
