"""One router's life: its parts put together, operators' calls, reloads, and its end."""

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
from myrtlecourse.beyond import ABSENT, Beyond
from myrtlecourse.config import Config, ConfigError, read_file, read_reload
from myrtlecourse.net.descriptors import DescriptorBudget
from myrtlecourse.net.discovery import Discovery, WatchTimeouts
from myrtlecourse.net.flow_control import MEMORY_SHARE, StreamWindows, UploadMemory
from myrtlecourse.net.host import Host
from myrtlecourse.net.listener import FRONT_REACTION_TIME, Listener
from myrtlecourse.net.members import Member
from myrtlecourse.net.origin import OriginConnection
from myrtlecourse.net.pool import Pool
from myrtlecourse.net.rate_limited_log import RateLimitedLog
from myrtlecourse.net.servers import CacheConnection
from myrtlecourse.ops.calls import Answer, Call, Kind
from myrtlecourse.ops.lives import Claim, Lives, share
from myrtlecourse.ops.orders import Listed, Orders, OrdersError, changes
from myrtlecourse.ops.server import OpsServer
from myrtlecourse.ops.store import Store
from myrtlecourse.overload.core import CoreAdmission
from myrtlecourse.reload_signal import early

KILLED = 0.7  # seconds after SIGTERM and the longest deadline, from which on SIGKILL may come
LONGEST_END = 3.0  # seconds, of that deadline
END_MARGIN = 0.1  # seconds before that, by which all has ended
RESERVE = 32  # descriptors for the loop, the log, the listener, discovery and operators
SECOND_RESERVE = 16  # the same of another process while two live, which has no more than it needs
FORMER = 2.0  # seconds for which a dropped class is still taken: commands under way when it was dropped
LOOK = 0.1  # seconds between looks for what another process of an upgrade was told
FIRST_LIST = 1.0  # seconds to wait for a fresh list at an upgrade, before the one held has to do
END_SIGNALS = (signal.SIGTERM, signal.SIGINT)
bounded = RateLimitedLog(logging.getLogger(__name__))


def ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Ignore further signals while the process exits.

    Guards the exit code: an event loop that closes restores the default actions, which end the process.
    """
    handled = (signal.SIGHUP, *END_SIGNALS)
    before = signal.pthread_sigmask(signal.SIG_BLOCK, handled)
    for each in handled:
        loop.remove_signal_handler(each)
        signal.signal(each, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_SETMASK, before)


class Service:
    """One router."""

    def __init__(self, config: Config, path: str, inherited: int | None, folder: Path | None) -> None:
        """Takes what the platform told; `inherited` is a listening socket's descriptor.

        What operators order is kept in `folder` for the process that follows an upgrade.
        """
        self.config = config
        self.path = path
        self.inherited = inherited
        settings = config.settings
        room = config.sockets - RESERVE
        dial, idle = settings.dial_timeout, settings.connection_idle
        self.descriptors = descriptors = DescriptorBudget(room)
        longest = config.longest_answer
        self.windows, self.room = StreamWindows(), UploadMemory()
        windows = self.windows
        self.servers = Pool(CacheConnection, room * 3 // 8, dial, idle, longest, descriptors, windows)
        self.origin = Pool(OriginConnection, room // 8, dial, idle, longest, descriptors, windows)
        self.door = CoreAdmission(settings)
        self.host = Host(settings, config.seed, self.servers, self.origin, self._subscribe, self.door)
        index = config.known_index if inherited is None else None  # at an upgrade the whole list, at once
        patience = WatchTimeouts.from_settings(settings)
        self.discovery = Discovery(
            config.discovery, index, self._list_told, self.host.discovery_failed, patience
        )
        self.listener = Listener(self.host, room // 2, descriptors, windows, self.room)
        self.listed = Listed()
        self.store = Store(folder)
        self.lives = None
        if folder is not None and inherited is not None:
            try:
                self.lives = Lives(folder)
            except OSError as e:
                # guards the start: without the folder only what two processes share is lost
                logging.error("nothing is shared with another process: %s", e)
        self.ending = False
        self.others: list[Claim] = []  # other processes of this router that live, as last seen
        self._share()
        self.orders = Orders()  # as the decisions have them
        self.ops = OpsServer(self.carry_out)
        self.reload_wanted = asyncio.Event()
        self.fresh = asyncio.Event()  # a list has come from discovery
        operators = os.environ.get("MYRTLECOURSE_FILE", "")
        self.operators = Path(operators) if operators else None  # their file
        self.beyond: Beyond | None = None  # what that file has on

    def _subscribe(self) -> None:
        self.discovery.subscribe()

    def _list_told(self, kind: api.ListKind, members: list[Member]) -> None:
        origin = self.host.settings.origin_kind if self.host.settings.cache_aside else None
        self.listed.note((m.entry.server, m.entry.kind != origin) for m in members)
        self.host.submit_list(kind, members)
        if kind is not api.ListKind.SAVED:
            self.fresh.set()

    async def run(self) -> None:
        """Serve until SIGTERM, and then what was taken."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        if early.pending:
            self.reload()
        terminated = asyncio.Event()
        for each in END_SIGNALS:
            loop.add_signal_handler(each, terminated.set)
        self.store.refresh()
        self._obey()
        self._list_told(api.ListKind.SAVED, self.config.known)
        if not self.config.settings.subscribe:
            self.discovery.subscribe()  # the module does not ask for what is pushed; it comes as asked for
        reloads = asyncio.create_task(self._reload_when_told())
        watch = asyncio.create_task(self._watch_others()) if self.lives is not None else None
        if self.inherited is not None:
            await self._wait_for_list()
        if self.operators is not None:
            self.beyond = Beyond(self, self.operators)
            await self.beyond.start()
        # what is there by now stays: a look for garbage through a large list would stop the event loop
        gc.freeze()
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
        await self._end()
        reloads.cancel()
        if watch is not None:
            watch.cancel()
        self.ops.close()
        self.discovery.close()
        self.servers.close()
        self.origin.close()
        if self.lives is not None:
            try:
                self.lives.end()
            except OSError as e:
                logging.error("its claim on descriptors was not taken back: %s", e)
        logging.info(
            "ended; the longest turn of the event loop took %.1f ms", 1000 * self.host.loop_lag.longest
        )
        ignore_signals(loop)

    async def _end(self) -> None:
        """End what was taken, and give up what is held for the fleet, both by when SIGKILL may come."""
        loop = asyncio.get_running_loop()
        inherited = self.inherited is not None
        logging.info(
            "ending: no new connections %s", "from now on" if inherited else f"in {FRONT_REACTION_TIME:g} s"
        )
        self.ending = True
        longest = min(LONGEST_END, self.host.settings.longest_deadline) + KILLED - END_MARGIN
        over = loop.time() + longest
        # guards what is taken from here on: giving up a duty may take longer than a request has
        self.host.set_answer_deadline(longest)
        beyond = self.beyond
        closing = asyncio.create_task(beyond.close()) if beyond is not None else None
        if closing is not None and not inherited:
            # until the service address is elsewhere clients still come here
            await asyncio.wait([closing], timeout=longest - FRONT_REACTION_TIME)
        await self.listener.stop(FRONT_REACTION_TIME, over - loop.time())
        if closing is not None:
            await asyncio.wait([closing], timeout=max(0.0, over - loop.time()))
            if not closing.done():
                logging.warning("what is held for the fleet was not given up in time")
                closing.cancel()

    async def _wait_for_list(self) -> None:
        """Guards the first requests after an upgrade: the list in the configuration may be old."""
        try:
            async with asyncio.timeout(FIRST_LIST):
                await self.fresh.wait()
        except TimeoutError:
            logging.warning("no list from discovery in %g s, going on with the one held", FIRST_LIST)

    # Orders

    async def carry_out(self, call: Call) -> Answer:
        """Do what an operator calls for, or say why not."""
        now = time.time()
        if call.kind is Kind.READY:
            if self.host.accepts_clients():
                return Answer(HTTPStatus.OK, "ready")
            if self.host.has_usable_server():
                return Answer(HTTPStatus.SERVICE_UNAVAILABLE, "the service address is elsewhere")
            why = "no cache server is known" if self.host.in_service else "out of service"
            return Answer(HTTPStatus.SERVICE_UNAVAILABLE, why)
        if call.kind in ABSENT:
            beyond = self.beyond
            return beyond.carry_out(call) if beyond else Answer(HTTPStatus.NOT_FOUND, ABSENT[call.kind])
        try:
            if call.kind is Kind.OUT_OF_SERVICE or call.kind is Kind.IN_SERVICE:
                await self.store.change(lambda o: o.service(call.kind is Kind.OUT_OF_SERVICE))
            else:
                known = call.server in self.store.orders.bans
                if not known and (why := self.listed.why_not(call.server)):
                    return Answer(HTTPStatus.NOT_FOUND, why)
                if call.kind is Kind.OFFLINE:
                    await self.store.change(lambda o: o.offline(call.server, now))
                else:
                    await self.store.change(lambda o: o.online(call.server, now))
        except OrdersError as e:
            return Answer(HTTPStatus.CONFLICT, str(e))
        self._obey()
        return Answer(HTTPStatus.OK, call.kind.value)

    def _obey(self) -> None:
        """Tell the decisions and the listener what the orders have become."""
        before, self.orders = self.orders, self.store.orders
        for event in changes(before, self.orders):
            if isinstance(event, api.ServerBanned):
                self.host.take_offline(event.server)
            else:
                self.host.bring_online(event.server, event.returned_at)
        if before.out_of_service is not self.orders.out_of_service:
            self.host.in_service = not self.orders.out_of_service
            if self.orders.out_of_service:
                logging.info("out of service: clients go as they fall idle")
                self.listener.start_drain()
            else:
                logging.info("in service")
                if self.host.holds_service_address:
                    self.listener.stop_drain()

    async def _watch_others(self) -> None:
        """What is told to one process of an upgrade binds both, and they share one router's limits."""
        while True:
            await asyncio.sleep(LOOK)
            if self.store.refresh():
                self._obey()
            self._share()

    def _others(self) -> list[Claim]:
        """Other processes of this router that live, as far as can be told.

        Guards the router: a folder out of order ends neither its start nor the look at what was ordered.
        """
        if self.lives is None:
            return []
        try:
            self.others = self.lives.others()
        except OSError as e:
            bounded.log(logging.ERROR, "looking for another process: %s", e)
        return self.others

    def _share(self) -> None:
        """Deal the router's limits to this process and another of it that lives."""
        others = self._others()
        total = self.config.sockets - RESERVE - SECOND_RESERVE * len(others)
        if self.ending and others:
            # guards the process that follows: what is kept for requests that won't come is what it lacks
            for pool in (self.servers, self.origin):
                pool.close_all_idle()
        descriptors = self.descriptors
        if self.lives is not None:
            descriptors.total = share(
                total, descriptors.descriptors_used(), self.ending, self.lives.born, others
            )
            try:
                self.lives.claim(descriptors.total)
            except OSError as e:
                bounded.log(logging.ERROR, "telling another process of its descriptors: %s", e)
        self.windows.budget = self.room.budget = int(self.config.memory * MEMORY_SHARE / (1 + len(others)))

    # Reloads

    def reload(self) -> None:
        """Take a new configuration, once the one in hand is done with."""
        self.reload_wanted.set()

    async def _reload_when_told(self) -> None:
        while True:
            await self.reload_wanted.wait()
            self.reload_wanted.clear()
            try:
                await self._reload()
            except Exception:
                # guards later reloads: a fault in this one must not leave the router deaf to them
                logging.exception("reload")

    async def _reload(self) -> None:
        """Take a new configuration whole, or nothing of it: discovery's address and the settings."""
        try:
            config = await read_reload(read_file(self.path), self.config)
        except ConfigError as e:
            # guards the running router: a file half written or wrong must not cost what it serves
            logging.error("configuration not taken, the old one stays: %s", e)
            return
        before, self.config = (
            self.config,
            replace(self.config, discovery=config.discovery, settings=config.settings),
        )
        if config.settings != before.settings:
            self._retune(config.settings)
        if config.discovery != before.discovery:
            logging.info("discovery is now %s", config.discovery)
            self.discovery.change_address(config.discovery)
            self.host.discovery_moved()
            if not config.settings.subscribe:
                self.discovery.subscribe()
        if self.beyond is not None:
            self.beyond.reload()

    def _retune(self, settings: api.Settings) -> None:
        """Swap the settings. Classes that are dropped are taken for a little longer, as commands of them may
        lie in sockets; their rules stay what they were."""
        before = self.host.settings.classes  # with those of a reload just before that are still taken
        dropped = {name: c for name, c in before.items() if name not in settings.classes}
        added = [name for name in settings.classes if name not in before]
        logging.info("new settings: classes added %s, dropped %s", added or "none", [*dropped] or "none")
        self.host.change_settings(replace(settings, classes={**dropped, **settings.classes}))
        self.discovery.timeouts = WatchTimeouts.from_settings(settings)
        if dropped:
            asyncio.get_running_loop().call_later(FORMER, self._drop_former, settings)

    def _drop_former(self, settings: api.Settings) -> None:
        if self.config.settings == settings:  # else a later reload has its own
            self.host.change_settings(settings)


def inherited_socket() -> int | None:
    """The descriptor of a listening socket that the platform holds, if there is one."""
    text = os.environ.get("RELAY_LISTEN_FD", "")
    if not text:
        return None
    if not text.isdigit():
        raise ConfigError(f"RELAY_LISTEN_FD must be a descriptor's number, not {text!r}")
    return int(text)


def shared_folder() -> Path | None:
    """Where processes of an upgrade meet."""
    text = os.environ.get("TMPDIR", "")
    return Path(text) if text else None
