"""What the operators' file has on beyond the platform: an address, duties, zones left as a fleet, a spread.

Nothing of it is imported before the file asks for it.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from http import HTTPStatus
from pathlib import Path
from typing import TYPE_CHECKING

import orjson

from myrtlecourse.config import ConfigError
from myrtlecourse.net.pool import parse_address
from myrtlecourse.ops.calls import SPREAD_CALLS, ZONE_CALLS, Answer, Call, Kind

if TYPE_CHECKING:
    from myrtlecourse.address.duty import AddressWork
    from myrtlecourse.address.keeper import Keeper
    from myrtlecourse.duties.driver import DutyDriver
    from myrtlecourse.operators import Address, Duties, Fleet, OperatorsFile, Spread
    from myrtlecourse.peers.gossip_socket import GossipSocket
    from myrtlecourse.service import Service
    from myrtlecourse.spread.driver import Driver as SpreadKeeper

LEAST_SHARE = 0.1  # of commands let in by a full core, below which a router holds no duty
# what operators' calls are answered where their part is off
ABSENT = {
    **dict.fromkeys((Kind.ADDRESS, Kind.MOVE), "this router's address does not move"),
    **dict.fromkeys((Kind.FLEET, *ZONE_CALLS), "this router talks to no others"),
    **dict.fromkeys((Kind.DUTIES, Kind.DUTY_MOVE), "this router has no part in duties"),
    **dict.fromkeys(SPREAD_CALLS, "this router has no part in a spread"),
}


class Beyond:
    """Its parts in one router."""

    def __init__(self, service: Service, path: Path) -> None:
        """`service` has the host, the listener and discovery that they act on."""
        self.service = service
        self.path = path
        self.keeper: Keeper | None = None  # of the service address, where it has an election of its own
        self.speaker: GossipSocket | None = None  # to other routers, where they talk
        self.address_work: AddressWork | None = None  # where the address is one of the duties
        self.duties: DutyDriver | None = None  # that one router holds at a time
        self.spread: SpreadKeeper | None = None  # of changes and purges

    async def start(self) -> None:
        """Begin with what the file has on. Raises ConfigError."""
        told = self._read()
        if told.fleet is not None:
            await self._join_fleet(told.fleet)
        if told.address is not None and told.address.peers:
            await self._keep_address(told.address)
        if told.spread is not None:
            await self._keep_spread(told.spread)  # before the duty of writing its log can come here
        if told.duties is not None:
            await self._keep_duties(told, told.duties)

    def carry_out(self, call: Call) -> Answer:
        """Do what an operator calls for, or say why not."""
        if call.kind is Kind.ADDRESS or call.kind is Kind.MOVE:
            return self._of_address(call)
        if call.kind is Kind.FLEET or call.kind in ZONE_CALLS:
            return self._of_fleet(call)
        if call.kind in SPREAD_CALLS:
            return self._of_spread(call)
        return self._of_duties(call)

    async def close(self) -> None:
        """Give up what is held, in order, and say no more."""
        if self.speaker is not None:
            self.speaker.close()
        if self.keeper is not None:
            await self.keeper.close()
        if self.duties is not None:
            await self.duties.close()
        if self.spread is not None:
            await self.spread.close()

    def _read(self) -> OperatorsFile:
        """The operators' file. Raises ConfigError, also where what it needs is not installed."""
        try:
            from myrtlecourse.operators import read_operators  # noqa: PLC0415  (an extra; the plain router has none)
        except ImportError as e:
            raise ConfigError(
                f"{self.path} needs {e.name}, which is missing: install myrtlecourse[fleet]"
            ) from e
        return read_operators(self.path)

    def _of_address(self, call: Call) -> Answer:
        if self.address_work is not None and self.duties is not None:
            if call.kind is Kind.ADDRESS:
                return Answer(HTTPStatus.OK, orjson.dumps(self.address_work.status()).decode())
            if why := self.duties.move("address", call.server):
                return Answer(HTTPStatus.CONFLICT, why)
            return Answer(HTTPStatus.OK, "moving")
        if self.keeper is None:
            return Answer(HTTPStatus.NOT_FOUND, ABSENT[call.kind])
        if call.kind is Kind.ADDRESS:
            return Answer(HTTPStatus.OK, orjson.dumps(self.keeper.status()).decode())
        if why := self.keeper.move(call.server):
            return Answer(HTTPStatus.CONFLICT, why)
        return Answer(HTTPStatus.OK, "moving")

    async def _join_fleet(self, table: Fleet) -> None:
        """Leave zones with the other routers, where they may talk."""
        from myrtlecourse.zones.setup import make_gossip_socket  # noqa: PLC0415  (an extra)

        self.speaker = make_gossip_socket(
            table, self.service.config, self.service.host.clock.now, self.service.host.post
        )
        if self.speaker is None:
            logging.warning("fleet: the settings allow no talk between routers, and the file names no peers")
            return
        self.service.host.set_observer(self.speaker.agent)
        try:
            await self.speaker.start(shared=self.service.inherited is not None)
        except OSError as e:
            raise ConfigError(f"{self.path}: fleet: {e}") from e

    def _of_fleet(self, call: Call) -> Answer:
        if self.speaker is None:
            return Answer(HTTPStatus.NOT_FOUND, ABSENT[call.kind])
        from myrtlecourse.zones.exit_rule import ZoneMode  # noqa: PLC0415  (an extra)

        agent, now = self.speaker.agent, self.service.host.clock.now()
        if call.kind is Kind.FLEET:
            return Answer(HTTPStatus.OK, orjson.dumps(agent.status(now)).decode())
        try:
            order = ZoneMode[call.kind.name.replace("ZONE_", "ORDERED_")]
            agent.order_zone(now, call.server, order, call.seconds)
        except ValueError as e:
            return Answer(HTTPStatus.NOT_FOUND, str(e))
        return Answer(HTTPStatus.OK, f"{call.server} is ordered {call.kind.value} for {call.seconds:g} s")

    def _serves(self, table: Address) -> bool:
        """An emptied or overloaded router gives the address up, and one that knows too little."""
        fresh = time.monotonic() - self.service.discovery.last_answer_at < table.list_age
        return (
            fresh
            and self.service.door.admitted_share >= table.least_share
            and self.service.host.has_usable_server()
        )

    async def _keep_address(self, table: Address) -> None:
        """Take part in the election of who holds the service address."""
        from myrtlecourse.address.setup import keeper  # noqa: PLC0415  (an extra)

        self.keeper = keeper(
            table, lambda: self._serves(table), self._held, self.service.listener.wait_drained
        )
        self.service.listener.holds_address = self.keeper.holds
        self._held(False)
        own = next(p.at for p in table.peers if p.name == table.name)
        try:
            logging.info("voters are heard on %s:%d", *await self.keeper.start(parse_address(own)))
        except OSError as e:
            raise ConfigError(f"{self.path}: address.peers: {own}: {e}") from e

    def _address_as_duty(self, table: Address, keeper: DutyDriver) -> None:
        """Hold the service address as the first of the duties."""
        from myrtlecourse.address.duty import AddressWork  # noqa: PLC0415  (an extra)
        from myrtlecourse.address.setup import link  # noqa: PLC0415
        from myrtlecourse.duties.messages import ADDRESS  # noqa: PLC0415

        made = link(table, keeper.settings.name)
        self.address_work = AddressWork(keeper, made, self._held, self.service.listener.wait_drained)
        keeper.works[ADDRESS] = self.address_work
        keeper.abilities[ADDRESS] = lambda: self._serves(table)
        self.service.listener.holds_address = self.address_work.holds
        self._held(False)

    async def _keep_duties(self, told: OperatorsFile, table: Duties) -> None:
        """Take part in the duties of the fleet."""
        from myrtlecourse.duties.setup import make_driver, peers  # noqa: PLC0415  (an extra)

        def able() -> bool:
            """An emptied router holds nothing, and one whose core is full."""
            return self.service.host.in_service and self.service.door.admitted_share >= LEAST_SHARE

        self.duties = make_driver(table, told.of_duties(), able)
        if told.address is not None and not told.address.peers:
            self._address_as_duty(told.address, self.duties)
        if self.spread is not None and told.spread is not None and told.spread.duty is not None:
            from myrtlecourse.spread.log_duty import LogDuty  # noqa: PLC0415  (an extra)

            work = LogDuty(told.spread.duty, self.duties, self.spread)
            self.duties.works[told.spread.duty] = work
            self.duties.abilities[told.spread.duty] = work.able
        own = parse_address(table.listen) if table.listen is not None else peers(table)[table.name]
        try:
            await self.duties.start(own, shared=self.service.inherited is not None)
        except OSError as e:
            raise ConfigError(f"{self.path}: duties: {e}") from e

    def _of_duties(self, call: Call) -> Answer:
        if self.duties is None:
            return Answer(HTTPStatus.NOT_FOUND, ABSENT[call.kind])
        if call.kind is Kind.DUTIES:
            return Answer(HTTPStatus.OK, orjson.dumps(self.duties.status()).decode())
        if why := self.duties.move(call.duty, call.server):
            return Answer(HTTPStatus.CONFLICT, why)
        return Answer(HTTPStatus.OK, "moving")

    async def _keep_spread(self, table: Spread) -> None:
        """Take part in the spread of changes and purges."""
        from myrtlecourse.spread.replica_events import LogError  # noqa: PLC0415  (an extra)
        from myrtlecourse.spread.setup import listen_address, make_driver  # noqa: PLC0415

        self.spread = make_driver(table)
        try:
            await self.spread.start(listen_address(table), shared=self.service.inherited is not None)
        except (OSError, LogError) as e:
            raise ConfigError(f"{self.path}: spread: {e}") from e
        self.service.ops.carry_out = self._carry_out_entry

    def _of_spread(self, call: Call) -> Answer:
        if self.spread is None:
            return Answer(HTTPStatus.NOT_FOUND, ABSENT[call.kind])
        return Answer(HTTPStatus.OK, orjson.dumps(self.spread.status()).decode())

    async def _carry_out_entry(self, call: Call) -> Answer:
        """Answer a call for a purge or change once it lasts; all others are the service's."""
        if self.spread is None or call.kind not in (Kind.SPREAD_PURGE, Kind.SPREAD_SEND):
            return await self.service.carry_out(call)
        from myrtlecourse.spread.log_duty import OutcomeUnknown, commit  # noqa: PLC0415
        from myrtlecourse.spread.messages import Change, Purge, SpreadError  # noqa: PLC0415  (an extra)

        purge = call.kind is Kind.SPREAD_PURGE
        try:
            number = await commit(self.spread, Purge(call.key) if purge else Change(call.key, call.value))
        except SpreadError as e:
            return Answer(HTTPStatus.SERVICE_UNAVAILABLE, str(e))
        except OutcomeUnknown as e:
            return Answer(HTTPStatus.GATEWAY_TIMEOUT, str(e))
        return Answer(HTTPStatus.OK, str(number))

    def _held(self, here: bool) -> None:
        """The service address has come, or is gone: then nothing is accepted, and what was taken ends."""
        self.service.host.holds_service_address = here
        if not here:
            self.service.listener.start_drain(0.0)
        elif not self.service.orders.out_of_service:
            self.service.listener.stop_drain()

    def reload(self) -> None:
        """Take what has changed in the operators' file: each table whole, or nothing of it."""
        try:
            told = self._read()
        except ConfigError as e:
            logging.error("operators' file not taken, the old one stays: %s", e)
            return
        if (keeper := self.keeper) is not None:
            self._try("address", lambda: self._reload_address(keeper, told.address))
        if (speaker := self.speaker) is not None:
            self._try("fleet", lambda: self._reload_fleet(speaker, told.fleet))
        if (duties := self.duties) is not None:
            self._try("duties", lambda: self._reload_duties(duties, told))
        if (spread := self.spread) is not None:
            self._try("spread", lambda: self._reload_spread(spread, told.spread))

    @staticmethod
    def _try(table: str, reload: Callable[[], None]) -> None:
        try:
            reload()
        except ValueError as e:
            logging.error("operators' file not taken, the old `%s` stays: %s", table, e)

    @staticmethod
    def _reload_address(keeper: Keeper, table: Address | None) -> None:
        """Voters that have come or gone, times, keys and the link. Raises ValueError."""
        from myrtlecourse.address.setup import keys, link  # noqa: PLC0415  (an extra)

        if table is None or not table.peers:
            raise ConfigError("the table `address` was there at the start and is missing")
        taken = keys(table)
        settings = table.election()
        if settings != keeper.settings:
            keeper.change(settings, {p.name: parse_address(p.at) for p in table.peers})
            logging.info("voters for the service address: %s", ", ".join(settings.voters))
        keeper.wire.seal.set_keys(*taken)
        keeper.words.link = link(table, table.name or "")
        logging.info("the address's keys and link are those of the file")

    @staticmethod
    def _reload_duties(keeper: DutyDriver, told: OperatorsFile) -> None:
        """Members, voters, times and keys; the duties themselves need a restart. Raises ValueError."""
        from myrtlecourse.duties.setup import keys, peers  # noqa: PLC0415  (an extra)

        if (table := told.duties) is None:
            raise ConfigError("the table `duties` was there at the start and is missing")
        keeper.change(told.of_duties(), peers(table), keys(table))
        logging.info("duties: %d routers, voters %s", len(table.peers), ", ".join(table.voters))

    @staticmethod
    def _reload_spread(keeper: SpreadKeeper, table: Spread | None) -> None:
        """Keys, and where others are heard; members and figures need a restart. Raises ValueError."""
        from myrtlecourse.spread.setup import peer_addresses, read_keys  # noqa: PLC0415  (an extra)

        if table is None:
            raise ConfigError("the table `spread` was there at the start and is missing")
        if table.settings() != keeper.settings:
            raise ConfigError("spread: members and figures can't be others while a process runs")
        taken = read_keys(table)
        keeper.wire.seal.set_keys(*taken)
        keeper.peers = peer_addresses(table)

    def _reload_fleet(self, speaker: GossipSocket, table: Fleet | None) -> None:
        """Everything but this router's name and zone, and where it is heard. Raises ValueError."""
        from myrtlecourse.zones.setup import agent_settings  # noqa: PLC0415  (an extra)

        told = agent_settings(table, self.service.config) if table is not None else None
        if told is None:
            raise ConfigError("the table `fleet` was there at the start and is missing")
        taken, peers, _ = told
        if taken != speaker.agent.settings or peers != speaker.peers:
            speaker.reconfigure(taken, peers)
            logging.info("new settings of the fleet: %d routers", len(peers))
