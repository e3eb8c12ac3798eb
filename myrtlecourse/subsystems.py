"""The optional subsystems of a router, which the operators' file enables.

They are: a service address that moves between routers, duties that one router of the fleet holds at a time,
excluding and rejoining zones as a fleet, and the distribution of changes and purges. The modules of a
subsystem are imported only when the file enables it, as their libraries may not be installed.
"""

from __future__ import annotations

import asyncio
import logging
import sys
import time
from collections.abc import Callable
from http import HTTPStatus
from pathlib import Path
from typing import TYPE_CHECKING

import orjson

from myrtlecourse.config import ConfigError
from myrtlecourse.net.pool import parse_address
from myrtlecourse.ops.calls import SPREAD_CALLS, ZONE_CALLS, Call, Kind, Response

if TYPE_CHECKING:
    from myrtlecourse.address.driver import AddressDriver
    from myrtlecourse.address.duty import AddressWork
    from myrtlecourse.duties.driver import DutyDriver
    from myrtlecourse.operators import Address, Duties, Fleet, OperatorsFile, Spread
    from myrtlecourse.peers.gossip_socket import GossipSocket
    from myrtlecourse.service import Service
    from myrtlecourse.spread.driver import Driver as SpreadDriver

# a router whose admission control admits a smaller share of the commands holds no duty
MIN_ADMITTED_SHARE = 0.1
# responses to operators' calls whose subsystem is not enabled
DISABLED_MESSAGES = {
    **dict.fromkeys((Kind.ADDRESS, Kind.MOVE), "this router has no service address that moves"),
    **dict.fromkeys((Kind.FLEET, *ZONE_CALLS), "this router does not communicate with other routers"),
    **dict.fromkeys((Kind.DUTIES, Kind.DUTY_MOVE), "this router takes part in no duties"),
    **dict.fromkeys(SPREAD_CALLS, "this router takes part in no spread"),
}


class Subsystems:
    """The optional subsystems of one router."""

    def __init__(self, service: Service, path: Path) -> None:
        """Create the subsystems without starting them.

        The subsystems use the host, the listener and discovery of `service`; `path` is that of the operators'
        file.
        """
        self.service = service
        self.path = path
        self.address_driver: AddressDriver | None = None  # if the service address has an election of its own
        self.gossip_socket: GossipSocket | None = None  # communication with other routers about zones
        self.address_work: AddressWork | None = None  # if the service address is one of the duties
        self.duty_driver: DutyDriver | None = None
        self.standing_by: asyncio.Task[None] | None = None  # while another process may hold the address
        self.spread_driver: SpreadDriver | None = None  # distribution of changes and purges

    async def start(self) -> None:
        """Start the subsystems that the operators' file enables. Raises ConfigError."""
        file = self._read()
        if file.fleet is not None:
            await self._join_fleet(file.fleet)
        if file.address is not None and file.address.peers:
            await self._start_address(file.address)
        if file.spread is not None:
            await self._start_spread(file.spread)  # before this router can acquire the duty to write its log
        if file.duties is not None:
            await self._start_duties(file, file.duties)

    def handle_call(self, call: Call) -> Response:
        """Carry out an operator's call, or return why it is refused."""
        if call.kind is Kind.ADDRESS or call.kind is Kind.MOVE:
            return self._handle_address_call(call)
        if call.kind is Kind.FLEET or call.kind in ZONE_CALLS:
            return self._handle_fleet_call(call)
        if call.kind in SPREAD_CALLS:
            return self._handle_spread_call(call)
        return self._handle_duty_call(call)

    async def close(self) -> None:
        """Hand over or release all that this router holds, and stop communicating."""
        if self.standing_by is not None:
            self.standing_by.cancel()
        if self.gossip_socket is not None:
            self.gossip_socket.close()
        if self.address_driver is not None:
            await self.address_driver.close()
        if self.duty_driver is not None:
            await self.duty_driver.close()
        if self.spread_driver is not None:
            await self.spread_driver.close()

    def _read(self) -> OperatorsFile:
        """Return the operators' file. Raises ConfigError, also if a library that it needs is missing."""
        try:
            # needs a library that is not installed with a router without an operators' file
            from myrtlecourse.operators import read_operators  # noqa: PLC0415
        except ImportError as e:
            raise ConfigError(
                f"{self.path} needs {e.name}, which is missing; install it by "
                f"`{sys.executable} -m pip install -r requirements-fleet.txt`"
            ) from e
        return read_operators(self.path)

    def _handle_address_call(self, call: Call) -> Response:
        if self.address_work is not None and self.duty_driver is not None:
            if call.kind is Kind.ADDRESS:
                return Response(HTTPStatus.OK, orjson.dumps(self.address_work.status()).decode())
            if reason := self.duty_driver.move("address", call.server):
                return Response(HTTPStatus.CONFLICT, reason)
            return Response(HTTPStatus.OK, "moving")
        if self.address_driver is None:
            return Response(HTTPStatus.NOT_FOUND, DISABLED_MESSAGES[call.kind])
        if call.kind is Kind.ADDRESS:
            return Response(HTTPStatus.OK, orjson.dumps(self.address_driver.status()).decode())
        if reason := self.address_driver.move(call.server):
            return Response(HTTPStatus.CONFLICT, reason)
        return Response(HTTPStatus.OK, "moving")

    async def _join_fleet(self, table: Fleet) -> None:
        """Start to exclude and rejoin zones together with the other routers, if they may communicate."""
        from myrtlecourse.zones.setup import make_gossip_socket  # noqa: PLC0415  (an optional dependency)

        self.gossip_socket = make_gossip_socket(
            table, self.service.config, self.service.host.clock.now, self.service.host.post
        )
        if self.gossip_socket is None:
            logging.warning(
                "fleet: the settings don't allow routers to communicate, and the file names no peers"
            )
            return
        self.service.host.set_observer(self.gossip_socket.agent)
        try:
            await self.gossip_socket.start(shared=self.service.inherited is not None)
        except OSError as e:
            raise ConfigError(f"{self.path}: fleet: {e}") from e

    def _handle_fleet_call(self, call: Call) -> Response:
        if self.gossip_socket is None:
            return Response(HTTPStatus.NOT_FOUND, DISABLED_MESSAGES[call.kind])
        from myrtlecourse.zones.exit_rule import ZoneMode  # noqa: PLC0415  (an optional dependency)

        agent, now = self.gossip_socket.agent, self.service.host.clock.now()
        if call.kind is Kind.FLEET:
            return Response(HTTPStatus.OK, orjson.dumps(agent.status(now)).decode())
        try:
            order = ZoneMode[call.kind.name.replace("ZONE_", "ORDERED_")]
            agent.order_zone(now, call.server, order, call.seconds)
        except ValueError as e:
            return Response(HTTPStatus.NOT_FOUND, str(e))
        return Response(HTTPStatus.OK, f"{call.server} is ordered {call.kind.value} for {call.seconds:g} s")

    def _can_serve(self, table: Address) -> bool:
        """Return whether this router may hold the service address.

        It may if it is neither drained nor overloaded and its list of servers is recent.
        """
        list_is_recent = time.monotonic() - self.service.discovery.last_answer_at < table.list_age
        return (
            list_is_recent
            and self.service.admission.admitted_share >= table.least_share
            and self.service.host.has_usable_server()
        )

    async def _start_address(self, table: Address) -> None:
        """Join the election of the router that holds the service address."""
        from myrtlecourse.address.setup import make_driver  # noqa: PLC0415  (an optional dependency)

        self.address_driver = make_driver(
            table, lambda: self._can_serve(table), self._on_address_change, self.service.listener.wait_drained
        )
        self.service.listener.may_serve = self.address_driver.may_serve
        self._on_address_change(False)
        own = next(p.at for p in table.peers if p.name == table.name)
        shared = self._accept_once_listening(self.address_driver)
        try:
            await self.address_driver.start(parse_address(own), shared)
        except OSError as e:
            raise ConfigError(f"{self.path}: address.peers: {own}: {e}") from e

    def _accept_once_listening(self, driver: AddressDriver | DutyDriver) -> bool:
        """Return whether another process of this router may hold the service address, during an upgrade.

        Until that one has closed its socket for the election, clients on the inherited socket are left to it.
        """
        shared = self.service.inherited is not None
        if shared:
            self.service.listener.accepting.clear()
            self.standing_by = asyncio.create_task(self._accept_after(driver))
        return shared

    async def _accept_after(self, driver: AddressDriver | DutyDriver) -> None:
        await driver.listening.wait()
        self.service.listener.accepting.set()

    def _add_address_duty(self, table: Address, driver: DutyDriver) -> None:
        """Make the service address the first of the duties."""
        from myrtlecourse.address.duty import AddressWork  # noqa: PLC0415  (an optional dependency)
        from myrtlecourse.address.setup import make_link  # noqa: PLC0415
        from myrtlecourse.duties.messages import ADDRESS  # noqa: PLC0415

        link = make_link(table, driver.settings.name)
        self.address_work = AddressWork(
            driver, link, self._on_address_change, self.service.listener.wait_drained
        )
        driver.works[ADDRESS] = self.address_work
        driver.abilities[ADDRESS] = lambda: self._can_serve(table)
        self.service.listener.may_serve = self.address_work.may_serve
        self._accept_once_listening(driver)
        self._on_address_change(False)

    async def _start_duties(self, file: OperatorsFile, table: Duties) -> None:
        """Take part in the duties of the fleet."""
        from myrtlecourse.duties.setup import make_driver, peers  # noqa: PLC0415  (an optional dependency)

        def able() -> bool:
            """Return whether this router is neither drained nor overloaded, and so may hold duties."""
            return (
                self.service.host.in_service and self.service.admission.admitted_share >= MIN_ADMITTED_SHARE
            )

        self.duty_driver = make_driver(table, file.duty_settings(), able)
        if file.address is not None and not file.address.peers:
            self._add_address_duty(file.address, self.duty_driver)
        if self.spread_driver is not None and file.spread is not None and file.spread.duty is not None:
            from myrtlecourse.spread.log_duty import LogDuty  # noqa: PLC0415  (an optional dependency)

            work = LogDuty(file.spread.duty, self.duty_driver, self.spread_driver)
            self.duty_driver.works[file.spread.duty] = work
            self.duty_driver.abilities[file.spread.duty] = work.able
        own = parse_address(table.listen) if table.listen is not None else peers(table)[table.name]
        try:
            await self.duty_driver.start(own, shared=self.service.inherited is not None)
        except OSError as e:
            raise ConfigError(f"{self.path}: duties: {e}") from e

    def _handle_duty_call(self, call: Call) -> Response:
        if self.duty_driver is None:
            return Response(HTTPStatus.NOT_FOUND, DISABLED_MESSAGES[call.kind])
        if call.kind is Kind.DUTIES:
            return Response(HTTPStatus.OK, orjson.dumps(self.duty_driver.status()).decode())
        if reason := self.duty_driver.move(call.duty, call.server):
            return Response(HTTPStatus.CONFLICT, reason)
        return Response(HTTPStatus.OK, "moving")

    async def _start_spread(self, table: Spread) -> None:
        """Take part in the distribution of changes and purges."""
        from myrtlecourse.spread.replica_events import LogError  # noqa: PLC0415  (an optional dependency)
        from myrtlecourse.spread.setup import listen_address, make_driver  # noqa: PLC0415

        self.spread_driver = make_driver(table)
        try:
            await self.spread_driver.start(listen_address(table), shared=self.service.inherited is not None)
        except (OSError, LogError) as e:
            raise ConfigError(f"{self.path}: spread: {e}") from e
        self.service.ops.handle_call = self._handle_entry_call

    def _handle_spread_call(self, call: Call) -> Response:
        if self.spread_driver is None:
            return Response(HTTPStatus.NOT_FOUND, DISABLED_MESSAGES[call.kind])
        return Response(HTTPStatus.OK, orjson.dumps(self.spread_driver.status()).decode())

    async def _handle_entry_call(self, call: Call) -> Response:
        """Commit a purge or change and respond once it is durable; pass other calls to the service."""
        if self.spread_driver is None or call.kind not in (Kind.SPREAD_PURGE, Kind.SPREAD_SEND):
            return await self.service.handle_call(call)
        from myrtlecourse.spread.log_duty import OutcomeUnknown, commit  # noqa: PLC0415
        from myrtlecourse.spread.messages import Change, Purge, SpreadError  # noqa: PLC0415  (an optional dependency)

        purge = call.kind is Kind.SPREAD_PURGE
        try:
            number = await commit(
                self.spread_driver, Purge(call.key) if purge else Change(call.key, call.value)
            )
        except SpreadError as e:
            return Response(HTTPStatus.SERVICE_UNAVAILABLE, str(e))
        except OutcomeUnknown as e:
            return Response(HTTPStatus.GATEWAY_TIMEOUT, str(e))
        return Response(HTTPStatus.OK, str(number))

    def _on_address_change(self, here: bool) -> None:
        """Start to serve clients if this router has acquired the service address (`here`).

        If it has lost the address, drain at once; the listener accepts clients only while the lease lasts.
        """
        self.service.host.holds_service_address = here
        if not here:
            self.service.listener.start_drain(0.0)
        elif not self.service.orders.out_of_service:
            self.service.listener.stop_drain()

    def reload(self) -> None:
        """Apply changes of the operators' file; each of its tables is applied completely or not at all."""
        try:
            file = self._read()
        except ConfigError as e:
            logging.error("operators' file not taken, the old one stays in force: %s", e)
            return
        if (address_driver := self.address_driver) is not None:
            self._reload_table("address", lambda: self._reload_address(address_driver, file.address))
        if (gossip_socket := self.gossip_socket) is not None:
            self._reload_table("fleet", lambda: self._reload_fleet(gossip_socket, file.fleet))
        if (duty_driver := self.duty_driver) is not None:
            self._reload_table("duties", lambda: self._reload_duties(duty_driver, file))
        if (spread_driver := self.spread_driver) is not None:
            self._reload_table("spread", lambda: self._reload_spread(spread_driver, file.spread))

    @staticmethod
    def _reload_table(table: str, reload: Callable[[], None]) -> None:
        try:
            reload()
        except ValueError as e:
            logging.error("operators' file not taken, the old `%s` stays in force: %s", table, e)

    @staticmethod
    def _reload_address(driver: AddressDriver, table: Address | None) -> None:
        """Apply changed voters, times, keys and the link. Raises ValueError."""
        from myrtlecourse.address.setup import make_link, read_keys  # noqa: PLC0415  (an optional dependency)

        if table is None or not table.peers:
            raise ConfigError("the table `address` is missing, but was present at the start")
        keys = read_keys(table)
        settings = table.election_settings()
        if settings != driver.settings:
            driver.change(settings, {p.name: parse_address(p.at) for p in table.peers})
            logging.info("voters for the service address: %s", ", ".join(settings.voters))
        driver.wire.seal.set_keys(*keys)
        driver.link_updater.link = make_link(table, table.name or "")
        logging.info("service address: keys and link reloaded")

    @staticmethod
    def _reload_duties(driver: DutyDriver, file: OperatorsFile) -> None:
        """Apply changed members, voters, times and keys; a change of the duties themselves needs a restart.

        Raises:
            ValueError: the change can't be applied.
        """
        from myrtlecourse.duties.setup import keys, peers  # noqa: PLC0415  (an optional dependency)

        if (table := file.duties) is None:
            raise ConfigError("the table `duties` is missing, but was present at the start")
        driver.change(file.duty_settings(), peers(table), keys(table))
        logging.info("duties: %d routers, voters %s", len(table.peers), ", ".join(table.voters))

    @staticmethod
    def _reload_spread(driver: SpreadDriver, table: Spread | None) -> None:
        """Apply changed keys and addresses of members; a change of members or parameters needs a restart.

        Raises:
            ValueError: the change can't be applied.
        """
        from myrtlecourse.spread.setup import peer_addresses, read_keys  # noqa: PLC0415

        if table is None:
            raise ConfigError("the table `spread` is missing, but was present at the start")
        if table.settings() != driver.settings:
            raise ConfigError("spread: members and parameters can't change while the process runs")
        keys = read_keys(table)
        driver.wire.seal.set_keys(*keys)
        driver.peers = peer_addresses(table)

    def _reload_fleet(self, gossip_socket: GossipSocket, table: Fleet | None) -> None:
        """Apply all changes but those of this router's name, zone and address. Raises ValueError."""
        from myrtlecourse.zones.setup import agent_settings  # noqa: PLC0415  (an optional dependency)

        configured = agent_settings(table, self.service.config) if table is not None else None
        if configured is None:
            raise ConfigError("the table `fleet` is missing, but was present at the start")
        new_settings, peers, _ = configured
        if new_settings != gossip_socket.agent.settings or peers != gossip_socket.peers:
            gossip_socket.reconfigure(new_settings, peers)
            logging.info("new settings of the fleet: %d routers", len(peers))
