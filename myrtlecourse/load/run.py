"""A run: worker processes that each send their part, and one record of them all."""

from __future__ import annotations

import asyncio
import multiprocessing
import os
import queue
import signal
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from uvloop import new_event_loop

from myrtlecourse.audit.observations import ObservationLog
from myrtlecourse.load.generator import Generator
from myrtlecourse.load.profile import Profile, ProfileError
from myrtlecourse.load.record import Record
from myrtlecourse.load.requests import PlannedRequest, plan_requests
from myrtlecourse.load.trace import Replay, replay_requests

PROGRESS = 0.5  # seconds between a worker's words
START_TIME = 30.0  # seconds for all workers to be ready
END_TIME = 10.0  # seconds after the last deadline in which a worker must have told its record


class RunError(RuntimeError):
    """A run that could not be made."""


@dataclass(frozen=True)
class Job:
    """What all workers share."""

    profile: Profile
    addresses: tuple[tuple[str, int], ...]  # of the routers, which are asked in turns
    workers: int = 1
    duration: float | None = None  # seconds; None: all of the profile or trace
    replay: Replay | None = None
    observations: Path | None = None  # a folder, where each worker writes what its clients saw
    run: str = ""  # begins every id, so that two runs against one target share none

    def plan(self, worker: int) -> Iterator[PlannedRequest]:
        """What one worker sends."""
        if self.replay is not None:
            return replay_requests(self.replay, worker, self.workers)
        return plan_requests(self.profile, worker, self.workers)


async def play(job: Job, worker: int, tell: Callable[[str, Any], None], stop: Any) -> None:
    """One worker's part; what it tells is `progress` with counts, and at the end `record`."""
    name = f"{job.run}{worker:x}."
    log = (
        ObservationLog(job.observations / f"clients-{worker}.jsonl") if job.observations is not None else None
    )
    observe = log.add if log is not None else None
    generator = Generator(job.profile, job.plan(worker), job.addresses, name, observe)
    told_at = generator.loop.time()

    def tick() -> None:
        nonlocal told_at
        now = generator.loop.time()
        if now - told_at >= PROGRESS:
            told_at = now
            tell("progress", (now - generator.began, dict(generator.record.all.counts)))
        if stop.is_set():
            generator.stop()

    try:
        took = await generator.run(job.duration, tick)
    finally:
        if log is not None:
            log.close()
    tell("record", (took, generator.record))


def work(job: Job, worker: int, results: Any, stop: Any, begin: Any) -> None:
    """A worker process."""
    # the parent hears of SIGINT and tells: the report of what ran is still wanted
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    try:
        results.put((worker, "ready", None))
        begin.wait(START_TIME)
        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            runner.run(play(job, worker, lambda what, value: results.put((worker, what, value)), stop))
    except ProfileError as e:
        results.put((worker, "profile", str(e)))
    except Exception as e:
        results.put((worker, "fault", f"{type(e).__name__}: {e}"))


def run(
    job: Job, progress: Callable[[float, dict[str, int]], None], began: Callable[[], None] = lambda: None
) -> tuple[float, Record]:
    """Run all workers to their end; answers with the seconds that it took and the merged record.

    `began` is called when all are ready and begin.

    SIGINT stops what is not sent yet; what is out still ends, and the report is of what ran.

    Raises ProfileError for a trace that can't be read and RunError when a worker dies.
    """
    context = multiprocessing.get_context("spawn")
    results, stop, begin = context.Queue(), context.Event(), context.Event()
    job = replace(job, run=job.run or f"{os.getpid():x}-{time.time_ns() & 0xFFFFFF:x}-")
    children = [
        context.Process(target=work, args=(job, i, results, stop, begin), daemon=True)
        for i in range(job.workers)
    ]
    collected = Collected(job.workers, begin, progress, began)
    before = signal.signal(signal.SIGINT, lambda *_: stop.set())
    try:
        for child in children:
            child.start()
        while len(collected.done) < job.workers:
            try:
                worker, what, value = results.get(timeout=0.5)
            except queue.Empty:
                dead = [i for i, c in enumerate(children) if not c.is_alive() and i not in collected.done]
                if dead:
                    raise RunError(f"worker {dead[0]} died (exit {children[dead[0]].exitcode})") from None
                continue
            collected.hear(worker, what, value)
    finally:
        signal.signal(signal.SIGINT, before)
        for child in children:
            if len(collected.done) < job.workers and child.is_alive():
                child.terminate()
            if child.pid is not None:
                child.join(END_TIME)
    return collected.took, collected.record


class Collected:
    """What the workers have told so far."""

    def __init__(
        self,
        workers: int,
        begin: Any,
        progress: Callable[[float, dict[str, int]], None],
        began: Callable[[], None],
    ) -> None:
        self.workers = workers
        self.began = began
        self.begin = begin
        self.progress = progress
        self.counts: dict[int, dict[str, int]] = {}
        self.record = Record()
        self.took = 0.0
        self.ready = 0
        self.done: set[int] = set()

    def hear(self, worker: int, what: str, value: Any) -> None:
        """Take a worker's word."""
        match what:
            case "ready":
                self.ready += 1
                if self.ready == self.workers:
                    self.began()
                    self.begin.set()
            case "progress":
                self.counts[worker] = value[1]
                total = {n: sum(c.get(n, 0) for c in self.counts.values()) for n in value[1]}
                self.progress(value[0], total)
            case "record":
                self.done.add(worker)
                self.took = max(self.took, value[0])
                self.record.merge(value[1])
            case "profile":
                raise ProfileError(value)
            case _:
                raise RunError(f"worker {worker}: {value}")
