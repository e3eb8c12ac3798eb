"""Commands sent at once behind a read of a long value, whose cache server resets the connection midway."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins"))
from fleet import SLACK, CacheServer, Fleet, encode, main, reset  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"  # whether the disruption is played
LONG = 1024 * 1024  # bytes of the long value


class Breaking(CacheServer):
    """Resets the connection while it gives the long value."""

    resets = 0

    async def send_value(self, key, request_id, value, writer):
        if len(value) < LONG or not TROUBLE:
            return await super().send_value(key, request_id, value, writer)
        writer.write(b"*3\r\n$%d\r\n%b" % (len(value), value[: LONG // 2]))
        await writer.drain()
        await asyncio.sleep(0.3)
        self.fleet.log(f"{self.name} resets the connection in the midst of id={request_id.decode()}")
        Breaking.resets += 1
        reset(writer)
        return False


async def judge_unanswered(fleet: Fleet, address: str, command: list[bytes]) -> str:
    """Return the breach by a command that got no answer, or an empty text if it is excused.

    If the router had not read it, it has sent nothing on, and the client sends it once more.
    """
    what = b" ".join(command[:3]).decode()
    sent_on = [line for line in fleet.arrivals if command[2].decode() in line]
    if sent_on:
        ran = ", and its write ran" if any(r[1] == command[2] for r in fleet.origin.runs) else ""
        return f"lost: {what} was taken, sent on ({sent_on[0]}) and never answered{ran}"
    fleet.log(f"no server has seen {what}: the client sends it once more, on a new connection")
    answer = None
    try:
        client = await fleet.connect(address)
        client.writer.write(encode(command))
        answer = await asyncio.wait_for(client.read_answer(), 3.0 + SLACK)
    except (OSError, TimeoutError) as e:
        fleet.log(f"on the new connection: {e!r}")
    fleet.log(f"client got for {command[2].decode()}: {answer!r}")
    return "" if answer is not None else f"lost: {what} was never answered, on a new connection neither"


async def case(fleet: Fleet) -> list[str]:
    for server in fleet.servers:
        server.__class__ = Breaking
        server.values = {b"timetable-all": b"t" * LONG, b"lesson-1": b"notes of lesson 1"}
    router = fleet.router("router", fleet.config())
    await router.start()
    await router.wait_ready()
    client = await fleet.connect(router.config["listen"])
    ids = [fleet.new_id() for _ in range(3)]
    commands = [
        [b"C.GET", b"timetable-all", ids[0], b"c=timetable-read,t=shannonside,d=2500"],
        [b"C.GET", b"lesson-1", ids[1], b"c=timetable-read,t=shannonside,d=2500"],
        [b"C.SET", b"slot-17", ids[2], b"c=slot-booking,t=shannonside,d=3000,k=5c0f6e1a2b3d4c59", b"taken"],
    ]
    client.writer.write(b"".join(encode(c) for c in commands))
    await client.writer.drain()
    sent_at = fleet.record.now()
    for command in commands:
        fleet.log(f"client sent, all at once: {b' '.join(command[:4]).decode()}")
    answers: list[bytes | None] = []
    breaches = []
    try:
        async with asyncio.timeout(3.0 + SLACK):
            for command in commands:
                answer = await client.read_answer()
                answers.append(answer)
                what = (
                    "the end of the connection" if answer is None else f"{answer[:40]!r}, {len(answer)} bytes"
                )
                fleet.log(f"client got for id={command[2].decode()}: {what}")
                if answer is None:
                    break
    except TimeoutError:
        fleet.log("client got nothing more in time")
    fleet.log(f"answers took {fleet.record.now() - sent_at:.3f} s")
    answers += [None] * (len(commands) - len(answers))
    await asyncio.sleep(0.5)
    if TROUBLE and not Breaking.resets:
        raise RuntimeError("the long value was not begun, so that nothing broke off")
    # The first may end unfinished, as the client can tell. The others were taken and are owed an answer.
    for command, answer in zip(commands[1:], answers[1:], strict=True):
        if answer is None and (breach := await judge_unanswered(fleet, router.config["listen"], command)):
            breaches.append(breach)
    if not TROUBLE and answers[0] != b"$" + b"t" * LONG:
        raise RuntimeError("the long value was not served, though nothing broke off")
    if not router.running:
        breaches.append("the router ended")
    return breaches


if __name__ == "__main__":
    main(case, __file__)
