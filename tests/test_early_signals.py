"""Tests of SIGHUP during the start and the end of a router, which must neither end it nor get lost."""

from __future__ import annotations

import asyncio
import os
import shlex
import signal
import subprocess
import sys
import time
import tomllib
from contextlib import suppress
from pathlib import Path

import orjson
import pytest

from myrtlecourse.early_signals import END_SIGNALS, EarlySignals
from myrtlecourse.fleet.routers import COMMAND
from tests.loopback import TIMEOUT, run
from tests.test_main import GOOD
from tests.test_wirehost import CONF

ROOT = Path(__file__).parent.parent


def test_the_deploy_file_has_the_signal_ignored_until_the_program_listens_for_it() -> None:
    line = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    assert line.startswith("trap '' HUP; exec ") and "trap '' HUP; exec " in shlex.split(COMMAND)[2]


def test_an_early_signal_is_remembered() -> None:
    before = {each: signal.getsignal(each) for each in (signal.SIGHUP, *END_SIGNALS)}
    early = EarlySignals()
    try:
        early.listen()
        assert not early.reload_pending
        os.kill(os.getpid(), signal.SIGHUP)
        assert early.reload_pending
    finally:
        for each, handler in before.items():
            signal.signal(each, handler)


# Guards against a router that ends by the signal, as if it had crashed, when it is told to end as it starts.
@pytest.mark.processes
@pytest.mark.parametrize("further", END_SIGNALS)
@pytest.mark.parametrize(
    ("program", "library"),
    [(("-m", "myrtlecourse"), "orjson"), ((str(ROOT / "deploy/start.py"),), "platform")],
    ids=["sources", "deployed"],
)
def test_a_router_that_is_told_to_end_while_it_imports_its_libraries_ends_with_0(
    program: tuple[str, ...], library: str, further: signal.Signals, tmp_path: Path
) -> None:
    reached = tmp_path / "reached"
    stand_in = f"import pathlib, time\npathlib.Path({str(reached)!r}).touch()\ntime.sleep(60)\n"
    (tmp_path / f"{library}.py").write_text(stand_in)
    router = subprocess.Popen(
        [sys.executable, *program], cwd=ROOT, env={**os.environ, "PYTHONPATH": str(tmp_path)}
    )
    try:
        while not reached.exists():
            assert router.poll() is None
            time.sleep(0.01)
        router.send_signal(further)
        assert router.wait(timeout=TIMEOUT) == 0
    finally:
        router.kill()
        router.wait()


# Guards against imports before the first line that can handle a signal, which took a tenth of a second.
@pytest.mark.processes
def test_nothing_large_is_imported_before_signals_are_handled() -> None:
    code = "import sys, myrtlecourse.__main__; print(*sys.modules)"
    loaded = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout
    assert "myrtlecourse.early_signals" in loaded
    assert not {"asyncio", "dataclasses", "logging", "myrtlecourse.policy"} & set(loaded.split())


@pytest.mark.processes
def test_a_router_that_is_told_all_through_its_start_lives_and_has_the_new_settings(tmp_path: Path) -> None:
    """The signal's default action ended the process without a message; found by a soak that reloaded a router
    while it restarted."""

    async def scenario() -> None:
        path, log = tmp_path / "config.json", tmp_path / "router.log"
        config = {**GOOD, "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9"}
        path.write_bytes(orjson.dumps(config))
        with log.open("wb") as out:
            router = await asyncio.create_subprocess_exec(
                *shlex.split(COMMAND), env={**os.environ, "RELAY_CONFIG": str(path)}, stdout=out, stderr=out
            )
        try:
            await asyncio.sleep(0.01)  # by then the shell ignores the signal
            classes = [*CONF["classes"], {**CONF["classes"][0], "name": "new"}]
            path.write_bytes(orjson.dumps({**config, "settings": {**CONF, "classes": classes}}))
            while b"listening on" not in log.read_bytes():
                assert router.returncode is None, log.read_text()
                with suppress(ProcessLookupError):
                    router.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.002)
            await asyncio.sleep(0.2)
            assert router.returncode is None
            router.terminate()
            assert await router.wait() == 0
        finally:
            if router.returncode is None:
                router.kill()
                await router.wait()

    run(scenario, timeout=30.0)


@pytest.mark.processes
@pytest.mark.parametrize("further", [signal.SIGHUP, signal.SIGTERM, signal.SIGINT])
def test_signals_all_through_a_routers_end_change_nothing_of_it(
    further: signal.Signals, tmp_path: Path
) -> None:
    """Once the event loop had closed, the default actions ended the process, which counts as a crash."""
    path, log = tmp_path / "config.json", tmp_path / "router.log"
    path.write_bytes(orjson.dumps({**GOOD, "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9"}))
    with log.open("wb") as out:
        router = subprocess.Popen(
            shlex.split(COMMAND), env={**os.environ, "RELAY_CONFIG": str(path)}, stdout=out, stderr=out
        )
    try:
        while b"listening on" not in log.read_bytes():
            assert router.poll() is None, log.read_text()
            time.sleep(0.01)
        router.terminate()
        while router.poll() is None:
            router.send_signal(further)
            time.sleep(0.001)
        assert router.returncode == 0, log.read_text()
    finally:
        router.kill()
        router.wait()
