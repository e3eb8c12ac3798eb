"""The router's process: builds its parts, handles operators' calls, reloads and upgrades, and shuts down.

During an upgrade two processes of one router run side by side. They obey the same orders of operators and
share one router's limits of descriptors and memory.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import time
from dataclasses import replace
from http import HTTPStatus
from pathlib import Path

from myrtlecourse import interface as api
from myrtlecourse.config import Config, ConfigError, read_file, read_reload
from myrtlecourse.early_signals import END_SIGNALS, early_signals
from myrtlecourse.net.client_memory import ClientMemory, available_bytes
from myrtlecourse.net.descriptors import DescriptorBudget
from myrtlecourse.net.discovery import Discovery, WatchTimeouts
from myrtlecourse.net.executed_ids import open_shared
from myrtlecourse.net.host import Host
from myrtlecourse.net.listener import FRONT_REACTION_TIME, Listener
from myrtlecourse.net.members import Member
from myrtlecourse.net.origin import OriginConnection
from myrtlecourse.net.pool import Pool
from myrtlecourse.net.process_memory import Allocator, resident_bytes
from myrtlecourse.net.rate_limited_log import RateLimitedLog
from myrtlecourse.net.servers import CacheConnection
from myrtlecourse.ops.calls import Call, Kind, Response
from myrtlecourse.ops.descriptor_claims import Claim, DescriptorClaims, descriptor_share
from myrtlecourse.ops.listed_servers import ListedServers, ListedServersFile
from myrtlecourse.ops.orders import Orders, OrdersError, events_between
from myrtlecourse.ops.server import OpsServer
from myrtlecourse.ops.server_list_file import ServerListFile, ServerListRecord
from myrtlecourse.ops.store import OrderStore
from myrtlecourse.overload.core import CoreAdmission
from myrtlecourse.subsystems import DISABLED_MESSAGES, Subsystems

# seconds; the platform may send SIGKILL once the longest deadline and this have passed since SIGTERM
KILL_GRACE = 0.7
MAX_SHUTDOWN_DEADLINE = 3.0  # seconds; a longer deadline counts as this one for the time of the SIGKILL
SHUTDOWN_MARGIN = 0.1  # seconds by which the shutdown ends before the SIGKILL
RESERVED_DESCRIPTORS = 32  # for the event loop, the log, the listener, discovery and operators
RESERVED_FOR_OTHER_PROCESS = 16  # the same for a second process during an upgrade, which needs fewer
# seconds for which a removed class is still accepted, as its commands may have been in transit at the reload
REMOVED_CLASS_TIME = 2.0
MEGABYTE = 1024 * 1024  # bytes
MEMORY_CHECK_INTERVAL = 0.1  # seconds between looks at the memory of this process
TRIM_INTERVAL = 1.0  # seconds between returns of freed pages, while memory is not scarce
KEPT_MEMORY = 1 / 8  # share of the clients' memory by which the process may grow before freed pages go back
SCARCE_MEMORY = 7 / 8  # share of the limit from which on memory is scarce, which is logged
POLL_INTERVAL = 0.1  # seconds between polls of the orders and claims of other processes of this router
FIRST_LIST_TIMEOUT = 1.0  # seconds to wait for a fresh list at an upgrade, before the saved one is used
bounded = RateLimitedLog(logging.getLogger(__name__))


def ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Ignore further signals while the process exits.

    Otherwise the exit code could be wrong: an event loop that closes restores the default actions, which end
    the process.
    """
    handled = (signal.SIGHUP, *END_SIGNALS)
    before = signal.pthread_sigmask(signal.SIG_BLOCK, handled)
    for each in handled:
        loop.remove_signal_handler(each)
        signal.signal(each, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_SETMASK, before)


class Service:
    """The process of one router."""

    def __init__(self, config: Config, path: str, inherited: int | None, folder: Path | None) -> None:
        """Build the parts of the router without starting them.

        `path` is that of the configuration; `inherited` is the descriptor of a listening socket, which the
        platform passes at an upgrade.

        Operators' orders are stored in `folder`, which processes of this router share during an upgrade.
        """
        self.config = config
        self.config_path = path
        self.inherited = inherited
        settings = config.settings
        available = config.sockets - RESERVED_DESCRIPTORS
        dial, idle = settings.dial_timeout, settings.connection_idle
        self.descriptors = descriptors = DescriptorBudget(available)
        longest = config.longest_answer
        self.memory = ClientMemory()
        windows = self.memory.windows
        self.servers = Pool(CacheConnection, available * 3 // 8, dial, idle, longest, descriptors, windows)
        self.origin = Pool(OriginConnection, available // 8, dial, idle, longest, descriptors, windows)
        self.admission = CoreAdmission(settings)
        self.host = Host(settings, config.seed, self.servers, self.origin, self._subscribe, self.admission)
        # without an index the first request is for the full list, which discovery sends at once; at an
        # upgrade the list in the configuration may be old
        index = config.known_index if inherited is None else None
        timeouts = WatchTimeouts.from_settings(settings)
        self.discovery = Discovery(
            config.discovery, index, self._on_list, self.host.discovery_failed, timeouts
        )
        self.listener = Listener(self.host, available // 2, descriptors, self.memory)
        self.listed_servers = ListedServers()
        self.listed_servers_file = ListedServersFile(folder, self.listed_servers)
        # only a router with an inherited socket is upgraded
        self.server_list_file = ServerListFile(folder if inherited is not None else None, self._told_list)
        self.store = OrderStore(folder)
        self.claims = None
        if folder is not None and inherited is not None:
            try:
                self.claims = DescriptorClaims(folder)
                self.host.executed_ids = open_shared(folder)
            except OSError as e:
                # the router must start all the same; only the sharing with another process is lost
                logging.error("nothing is shared with another process: %s", e)
        self.own_memory = resident_bytes()  # what the process needs without clients
        self.memory_limit = config.memory  # bytes; less while another process of this router runs
        self.shutting_down = False
        self.other_claims: list[Claim] = []  # claims of other processes of this router, as last read
        self._share_limits()
        self.orders = Orders()  # the orders that are in force at the host
        self.ops = OpsServer(self.handle_call)
        self.reload_requested = asyncio.Event()
        self.list_received = asyncio.Event()  # set once discovery has sent a list
        operators_file = os.environ.get("MYRTLECOURSE_FILE", "")
        self.operators_path = Path(operators_file) if operators_file else None
        self.subsystems: Subsystems | None = None  # None without an operators' file

    def _subscribe(self) -> None:
        self.discovery.subscribe()

    def _on_list(self, kind: api.ListKind, members: list[Member]) -> None:
        """Pass a list of servers, or a change of it, to the host."""
        origin = self.host.settings.origin_kind if self.host.settings.cache_aside else None
        if self.listed_servers.record((m.entry.server, m.entry.kind != origin) for m in members):
            self.listed_servers_file.save_soon()
        self.host.submit_list(kind, members)
        if kind is not api.ListKind.SAVED:
            self.list_received.set()
            if members:
                self.server_list_file.save_soon()

    def _told_list(self) -> ServerListRecord | None:
        """Return the list that discovery has told; None while a part of it is not applied yet."""
        discovery = self.discovery
        if discovery.index is None or self.host.list_updates.pending:
            return None
        return ServerListRecord(discovery.address, discovery.index, tuple(self.host.members.values()))

    def _apply_saved_list(self) -> None:
        """Apply the newest list that needs no discovery: of the process before, or of the configuration."""
        index, members = self.config.known_index, self.config.known
        if self.inherited is not None:
            record = self.server_list_file.load(self.config.discovery, index)
            if record is not None:
                logging.info("the list of servers is that of the process before, index %d", record.index)
                members = list(record.members)
        self._on_list(api.ListKind.SAVED, members)

    async def run(self) -> None:
        """Serve until SIGTERM, then finishes the accepted requests and shuts down. Raises ConfigError."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        if early_signals.reload_pending:
            self.reload()
        terminated = asyncio.Event()
        for each in END_SIGNALS:
            loop.add_signal_handler(each, terminated.set)
        self.store.refresh()
        self._apply_orders()
        if self.inherited is not None:
            self.listed_servers_file.load()
        self._apply_saved_list()
        if not self.config.settings.subscribe:
            # the decision module then sends no `Subscribe`, as it expects that lists are pushed; they are
            # fetched here all the same
            self.discovery.subscribe()
        background = self._start_background_tasks()
        if self.inherited is not None:
            await self._wait_for_list()
        if self.operators_path is not None:
            self.subsystems = Subsystems(self, self.operators_path)
            await self.subsystems.start()
        # objects that exist by now are excluded from garbage collection, as a search of a large list of
        # servers would block the event loop
        gc.freeze()
        self._measure_own_memory()
        try:
            self.listener.start(self.config.listen, self.inherited)
        except OSError as e:
            raise ConfigError(f"listen: {e}") from e
        logging.info("listening on %s:%d", *self.listener.socket.getsockname())
        if self.config.ops is not None:
            try:
                logging.info("operators call %s:%d", *await self.ops.start(self.config.ops))
            except OSError as e:
                raise ConfigError(f"ops: {e}") from e
        await terminated.wait()
        await self._shut_down()
        for task in background:
            task.cancel()
        self.ops.close()
        self.listed_servers_file.close()
        self.server_list_file.close()
        self.discovery.close()
        self.servers.close()
        self.origin.close()
        if self.claims is not None:
            try:
                self.claims.release()
            except OSError as e:
                logging.error("the claim on descriptors could not be released: %s", e)
        logging.info(
            "ended; the longest iteration of the event loop took %.1f ms", 1000 * self.host.loop_lag.longest
        )
        ignore_signals(loop)

    def _start_background_tasks(self) -> list[asyncio.Task[None]]:
        tasks = [asyncio.create_task(self._reload_on_request()), asyncio.create_task(self._watch_memory())]
        if self.claims is not None:
            tasks.append(asyncio.create_task(self._poll_other_processes()))
        return tasks

    async def _shut_down(self) -> None:
        """Finish the accepted requests and close the subsystems, both before a SIGKILL may follow."""
        loop = asyncio.get_running_loop()
        # clients of an inherited socket are left to the next process, but not those of a service address that
        # this process holds
        followed = self.inherited is not None and self.listener.may_serve is None
        logging.info(
            "shutting down: no new connections %s",
            "from now on" if followed else f"in {FRONT_REACTION_TIME:g} s",
        )
        self.shutting_down = True
        # open requests may have been accepted under settings with longer deadlines than the present ones
        longest_deadline = max(self.host.settings.longest_deadline, self.host.longest_time_left())
        longest = min(MAX_SHUTDOWN_DEADLINE, longest_deadline) + KILL_GRACE - SHUTDOWN_MARGIN
        ends_at = loop.time() + longest
        # While duties are handed over, requests are still accepted; those whose deadline is later than
        # `ends_at` are refused.
        self.host.set_answer_deadline(longest)
        subsystems = self.subsystems
        closing = asyncio.create_task(subsystems.close()) if subsystems is not None else None
        if closing is not None and not followed:
            # clients still connect to this router until another one has the service address
            await asyncio.wait([closing], timeout=longest - FRONT_REACTION_TIME)
        await self.listener.stop(FRONT_REACTION_TIME, ends_at - loop.time())
        if closing is not None:
            await asyncio.wait([closing], timeout=max(0.0, ends_at - loop.time()))
            if not closing.done():
                logging.warning("duties or the service address were not handed over in time")
                closing.cancel()

    async def _wait_for_list(self) -> None:
        """Wait for a list from discovery: at an upgrade a saved list may be old."""
        try:
            async with asyncio.timeout(FIRST_LIST_TIMEOUT):
                await self.list_received.wait()
        except TimeoutError:
            logging.warning("no list from discovery in %g s; starting with a saved one", FIRST_LIST_TIMEOUT)
            self._apply_saved_list()  # the process before may have been told more meanwhile

    # Operators' orders

    async def handle_call(self, call: Call) -> Response:
        """Carry out an operator's call, or return why it is refused."""
        now = time.time()
        if call.kind is Kind.READY:
            if self.host.accepts_clients():
                return Response(HTTPStatus.OK, "ready")
            if self.host.has_usable_server() and not self.listener.accepting.is_set():
                return Response(HTTPStatus.OK, "ready to take over")
            if self.host.has_usable_server():
                return Response(HTTPStatus.SERVICE_UNAVAILABLE, "the service address is elsewhere")
            reason = "no cache server is known" if self.host.in_service else "out of service"
            return Response(HTTPStatus.SERVICE_UNAVAILABLE, reason)
        if call.kind in DISABLED_MESSAGES:
            subsystems = self.subsystems
            return (
                subsystems.handle_call(call)
                if subsystems
                else Response(HTTPStatus.NOT_FOUND, DISABLED_MESSAGES[call.kind])
            )
        try:
            if call.kind is Kind.OUT_OF_SERVICE or call.kind is Kind.IN_SERVICE:
                await self.store.change(lambda o: o.with_out_of_service(call.kind is Kind.OUT_OF_SERVICE))
            else:
                banned = call.server in self.store.orders.bans
                if not banned and (reason := self.listed_servers.refusal_reason(call.server)):
                    return Response(HTTPStatus.NOT_FOUND, reason)
                if call.kind is Kind.OFFLINE:
                    await self.store.change(lambda o: o.with_ban(call.server, now))
                else:
                    await self.store.change(lambda o: o.without_ban(call.server, now))
        except OrdersError as e:
            return Response(HTTPStatus.CONFLICT, str(e))
        self._apply_orders()
        return Response(HTTPStatus.OK, call.kind.value)

    def _apply_orders(self) -> None:
        """Apply changes of the orders to the host and the listener."""
        before, self.orders = self.orders, self.store.orders
        for event in events_between(before, self.orders):
            if isinstance(event, api.ServerBanned):
                self.host.take_offline(event.server)
            else:
                self.host.bring_online(event.server, event.returned_at)
        if before.out_of_service is not self.orders.out_of_service:
            self.host.in_service = not self.orders.out_of_service
            if self.orders.out_of_service:
                logging.info("out of service: connections of clients are closed as they become idle")
                self.listener.start_drain()
            else:
                logging.info("in service")
                if self.host.holds_service_address:
                    self.listener.stop_drain()

    async def _poll_other_processes(self) -> None:
        """Poll for orders given to another process during an upgrade, and share the limits with it."""
        while True:
            await asyncio.sleep(POLL_INTERVAL)
            if self.store.refresh():
                self._apply_orders()
            self._share_limits()

    def _read_other_claims(self) -> list[Claim]:
        """Return the claims of other running processes of this router.

        While the folder can't be read, the claims that were read last count: a faulty folder must end neither
        the start nor the polling of orders.
        """
        if self.claims is None:
            return []
        try:
            self.other_claims = self.claims.others()
        except OSError as e:
            bounded.log(logging.ERROR, "claims of other processes can't be read: %s", e)
        return self.other_claims

    def _measure_own_memory(self) -> None:
        """Divide between clients what the process itself does not need."""
        self.own_memory = resident_bytes()
        self._share_limits()
        logging.info(
            "memory: %.1f of %.1f MB in use, %.1f MB for clients",
            self.own_memory / MEGABYTE,
            self.config.memory / MEGABYTE,
            self.memory.available / MEGABYTE,
        )

    async def _watch_memory(self) -> None:
        """Divide between clients what is left of the memory, and give freed memory back to the system."""
        allocator = Allocator()
        trimmed_at = 0.0
        while True:
            await asyncio.sleep(MEMORY_CHECK_INTERVAL)
            resident = resident_bytes()
            scarce = resident > SCARCE_MEMORY * self.memory_limit
            now = time.monotonic()
            grown = resident - self.own_memory > KEPT_MEMORY * self.memory.available
            if grown and (scarce or now - trimmed_at >= TRIM_INTERVAL):
                allocator.return_freed()
                trimmed_at = now
                resident = resident_bytes()
            self._divide_memory(resident)
            if scarce and grown:
                self._log_memory(resident)

    def _divide_memory(self, resident: int) -> None:
        counted = self.memory.counted()
        self.memory.divide(available_bytes(self.memory_limit, self.own_memory, resident, counted))

    def _log_memory(self, resident: int) -> None:
        used, limit, available = (
            each / MEGABYTE for each in (resident, self.memory_limit, self.memory.available)
        )
        text = "memory is scarce: %.1f of %.1f MB in use, %.1f MB for %d clients: %s"
        clients = len(self.listener.connections)
        bounded.log(logging.WARNING, text, used, limit, available, clients, self.memory.summary())

    def _share_limits(self) -> None:
        """Divide the router's limits between this process and others of the same router."""
        others = self._read_other_claims()
        total = self.config.sockets - RESERVED_DESCRIPTORS - RESERVED_FOR_OTHER_PROCESS * len(others)
        if self.shutting_down and others:
            # no new requests arrive here, so idle connections would only withhold descriptors from the new
            # process
            for pool in (self.servers, self.origin):
                pool.close_all_idle()
        descriptors = self.descriptors
        if self.claims is not None:
            descriptors.total = descriptor_share(
                total, descriptors.descriptors_used(), self.shutting_down, self.claims.started_ns, others
            )
            try:
                self.claims.claim(descriptors.total)
            except OSError as e:
                bounded.log(logging.ERROR, "the claim on descriptors can't be written: %s", e)
        self.memory_limit = self.config.memory // (1 + len(others))
        self._divide_memory(resident_bytes())

    # Reloads

    def reload(self) -> None:
        """Request a reload of the configuration, which starts once a reload in progress has ended."""
        self.reload_requested.set()

    async def _reload_on_request(self) -> None:
        while True:
            await self.reload_requested.wait()
            self.reload_requested.clear()
            try:
                await self._reload()
            except Exception:
                # a fault in one reload must not end this task, which carries out all later ones
                logging.exception("reload")

    async def _reload(self) -> None:
        """Apply a new configuration's settings and discovery address, or nothing if it is invalid."""
        try:
            config = await read_reload(read_file(self.config_path), self.config)
        except ConfigError as e:
            # a running router must not stop serving because of an incomplete or wrong file
            logging.error("configuration not taken, the old one stays in force: %s", e)
            return
        before, self.config = (
            self.config,
            replace(self.config, discovery=config.discovery, settings=config.settings),
        )
        if config.settings != before.settings:
            self._apply_settings(config.settings)
        if config.discovery != before.discovery:
            logging.info("discovery is now %s", config.discovery)
            self.discovery.change_address(config.discovery)
            self.host.discovery_moved()
            if not config.settings.subscribe:
                self.discovery.subscribe()
        if self.subsystems is not None:
            self.subsystems.reload()

    def _apply_settings(self, settings: api.Settings) -> None:
        """Replace the settings.

        Removed classes are accepted with their old rules for REMOVED_CLASS_TIME, as their commands may still
        be in sockets.
        """
        before = self.host.settings.classes  # includes the classes that a recent reload removed
        dropped = {name: c for name, c in before.items() if name not in settings.classes}
        added = [name for name in settings.classes if name not in before]
        logging.info("new settings: classes added %s, dropped %s", added or "none", [*dropped] or "none")
        self.host.change_settings(replace(settings, classes={**dropped, **settings.classes}))
        self.discovery.timeouts = WatchTimeouts.from_settings(settings)
        if dropped:
            asyncio.get_running_loop().call_later(REMOVED_CLASS_TIME, self._drop_removed_classes, settings)

    def _drop_removed_classes(self, settings: api.Settings) -> None:
        if self.config.settings == settings:  # otherwise a later reload is in force, with a timer of its own
            self.host.change_settings(settings)


def inherited_socket() -> int | None:
    """Return the descriptor of a listening socket passed by the platform, if there is one.

    Raises:
        ConfigError: RELAY_LISTEN_FD is not a number.
    """
    text = os.environ.get("RELAY_LISTEN_FD", "")
    if not text:
        return None
    if not text.isdigit():
        raise ConfigError(f"RELAY_LISTEN_FD must be the number of a descriptor, not {text!r}")
    return int(text)


def shared_folder() -> Path | None:
    """Return the folder that the processes of one router share, if there is one."""
    text = os.environ.get("TMPDIR", "")
    return Path(text) if text else None
