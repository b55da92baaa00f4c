"""Watches the head of the configuration and the list of VMs."""

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
# The store counts an idle watch as an open call, so only the keeper that
# reads the head for its failure domain holds one.
_HEAD_READER_CHECK_INTERVAL_S = 0.5
_WATCH_IDLE_S = 10.0

_RunAction = Callable[[Callable[[], None]], None]


class _HeadWatches:
    """Opens a separate client for each watch, so that it can be closed."""

    def __init__(self, settings: StoreSettings) -> None:
        """Create the object without an open watch."""
        self._settings = settings
        self._client: StoreClient | None = None

    def watch(self, key: str, from_revision: int) -> Iterator[WatchEvent]:
        """Yield the writes to a key until the watch breaks or is closed."""
        client = StoreClient(self._settings.urls, self._settings.timeout_s)
        self._client = client
        return client.watch(key, from_revision, idle_s=_WATCH_IDLE_S)

    def close(self) -> None:
        """End the open watch, if any, the next time it is idle."""
        if self._client is not None:
            self._client.close()
            self._client = None


class PlatformWatcher:
    """Passes changes of the configuration head and VM list to the systems."""

    def __init__(
        self,
        systems: Systems,
        store: StoreSettings,
        vm_list: VmListSettings,
        run_action: _RunAction,
    ) -> None:
        """Change the configuration system only through ``run_action``."""
        self._systems = systems
        self._store = store
        self._vm_list = vm_list
        self._run_action = run_action
        self._reads_head = False
        self._executor = concurrent.futures.ThreadPoolExecutor(
            1,
            thread_name_prefix='platform',
        )

    async def run(self, stopped: Callable[[], bool]) -> None:
        """Watch until stopped."""
        await asyncio.gather(
            self._watch_head(stopped),
            self._read_vm_list(stopped),
        )
        self._executor.shutdown(wait=False, cancel_futures=True)

    async def _watch_head(self, stopped: Callable[[], bool]) -> None:
        """Watch the head while this keeper reads it for its failure domain."""
        loop = asyncio.get_running_loop()
        ended = threading.Event()
        watches = _HeadWatches(self._store)

        def changed(revision: int) -> None:
            """Pass a change that the watch thread saw to the event loop."""
            loop.call_soon_threadsafe(self._head_changed, revision)

        watcher = HeadWatcher(
            watches,
            is_head_reader=lambda: self._reads_head,
            on_change=changed,
            stopped=ended,
        )
        # An idle watch cannot be interrupted, so the thread is not joined.
        threading.Thread(
            target=watcher.run,
            name='head-watch',
            daemon=True,
        ).start()
        while not stopped():
            self._reads_head = self._systems.configuration.is_head_reader
            if not self._reads_head:
                watches.close()
            await asyncio.sleep(_HEAD_READER_CHECK_INTERVAL_S)
        ended.set()
        watches.close()

    def _head_changed(self, revision: int) -> None:
        """Notify the configuration system of a changed head."""
        configuration = self._systems.configuration
        self._run_action(lambda: configuration.head_changed(revision))

    async def _read_vm_list(self, stopped: Callable[[], bool]) -> None:
        """Poll the VM list for targets whose VMs are leaving."""
        if self._vm_list.url is None:
            return
        client = VmListClient(self._vm_list.url)
        loop = asyncio.get_running_loop()
        while not stopped():
            if self._systems.dispatch.targets:
                await loop.run_in_executor(
                    self._executor,
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
        """Read the list once; keep the last result if the call fails."""
        try:
            vms = client.fetch()
        except VmListError:
            return
        leaving = {vm.address for vm in vms if vm.state is VmState.LEAVING}
        loop.call_soon_threadsafe(self._set_leaving, leaving)

    def _set_leaving(self, addresses: set[str]) -> None:
        """Store the names of the targets on the VMs at some addresses."""
        names = {
            name
            for name, target in self._systems.document.targets.items()
            if urllib.parse.urlsplit(target.url).hostname in addresses
        }
        self._systems.leaving_targets = names
