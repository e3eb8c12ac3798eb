"""The routers are restarted one after the other as planned, after the build has been repeated on machines
that have a C compiler by now: does one of them hold the service address afterwards?"""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-2"))
from address_fleet import LONGEST_VACANCY, AddressFleet
from harness import ROOT, TROUBLE, CannotRun, Case, Router, command, hit, main

PAUSE = 6.0  # seconds from one restart to the next: "one router after another is told to end" (STANDING)
# seconds without a holder that are held to be a break: what the settings allow, the settling and the lease
# after a start, and 30 s in which a router has to be ready (STANDING)
ALLOWED = LONGEST_VACANCY + 0.5 + 0.8 + 30.0


async def ask(case: Case, router: Router, number: int) -> None:
    """A client comes, as clients do 30 s after a start at the latest (DEPLOY), and asks for one value."""
    try:
        reader, writer = await asyncio.open_connection(*router.address)
        writer.write(
            command("C.GET", f"pupil-{number}", f"{number:016x}", "c=timetable-read,t=shannonside,d=2000")
        )
        answer = await asyncio.wait_for(reader.read(4096), 2.5)
        writer.close()
        case.record(
            f"client asks {router.name}, and gets {answer!r}"
            if answer
            else f"client asks {router.name}, which closes the connection without an answer"
        )
    except (OSError, TimeoutError) as e:
        case.record(f"client asks {router.name}, and gets no answer: {e!r}")


async def play(case: Case) -> str:
    record = case.record
    compiled = Path(
        subprocess.run(
            [ROOT / ".venv/bin/python", "-B", ROOT / "deploy/compiled.py"],
            capture_output=True,
            text=True,
            check=True,
        ).stdout.strip()
    )
    if not compiled.exists():
        raise CannotRun("the build has made no compiled form: there is no C compiler")
    case.without_compiler()
    fleet = AddressFleet(case, lambda *_: (0.02, hit()), lambda *_: (0.05, b"receipt"))
    await fleet.prepare()
    await fleet.start()
    await asyncio.sleep(1.0)
    if TROUBLE:
        case.tree = ROOT  # the same files, and the compiled form that the build has made of them
        for name in ("c", "b", "a"):
            router = fleet.routers[name]
            assert router.process is not None
            router.send_signal(signal.SIGTERM)
            await router.process.wait()
            record(f"{name} has ended with {router.process.returncode}")
            started = router.text().count("operators call")
            await router.start()
            await router.until_log("operators call", started + 1)
            await asyncio.sleep(PAUSE)
    held_at = began = record.now()
    holder = ""
    while record.now() < began + ALLOWED + 1.0 and record.now() - held_at <= ALLOWED:
        for router in fleet.routers.values():
            if await router.ping():
                held_at = record.now()
                if router.name != holder:
                    holder = router.name
                    record(f"{holder} answers PING with +PONG: it holds the address")
        if record.now() - began > 10.0 and holder:
            break
        await asyncio.sleep(0.1)
    for number, router in enumerate(fleet.routers.values()):
        await ask(case, router, number)
        status, text = await router.call("GET", "ready")
        record(f"{router.name} says to GET /control/ready: {status} {text.strip()}")
    fleet.write_down_commands()
    vacant = record.now() - held_at
    if vacant > ALLOWED:
        return f"all three routers run and can talk, and none held the address for {vacant:.1f} s"
    return ""


if __name__ == "__main__":
    main(play, __file__)
