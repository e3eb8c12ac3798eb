"""Runs the worker processes that each send a share of the load, and merges their records."""

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

PROGRESS_INTERVAL = 0.5  # seconds between a worker's progress reports
START_TIMEOUT = 30.0  # seconds in which all workers must be ready
END_TIMEOUT = 10.0  # seconds in which a worker must exit at the end of the run


class RunError(RuntimeError):
    """The run failed."""


@dataclass(frozen=True)
class Job:
    """The parameters of a run, which all workers share."""

    profile: Profile
    addresses: tuple[tuple[str, int], ...]  # of the routers, used by round robin
    workers: int = 1
    duration: float | None = None  # seconds; None: all of the profile or trace
    replay: Replay | None = None
    observations: Path | None = None  # a folder in which each worker writes its clients' observations
    run: str = ""  # prefix of all request ids, so that no two runs against one target share an id

    def plan(self, worker: int) -> Iterator[PlannedRequest]:
        """Yield the requests of one worker."""
        if self.replay is not None:
            return replay_requests(self.replay, worker, self.workers)
        return plan_requests(self.profile, worker, self.workers)


async def run_generator(job: Job, worker: int, report: Callable[[str, Any], None], stop: Any) -> None:
    """Run one worker; it reports `progress` with counts, and at the end its `record`."""
    name = f"{job.run}{worker:x}."
    log = (
        ObservationLog(job.observations / f"clients-{worker}.jsonl") if job.observations is not None else None
    )
    observe = log.add if log is not None else None
    generator = Generator(job.profile, job.plan(worker), job.addresses, name, observe)
    reported_at = generator.loop.time()

    def tick() -> None:
        nonlocal reported_at
        now = generator.loop.time()
        if now - reported_at >= PROGRESS_INTERVAL:
            reported_at = now
            report("progress", (now - generator.began, dict(generator.record.all.counts)))
        if stop.is_set():
            generator.stop()

    try:
        took = await generator.run(job.duration, tick)
    finally:
        if log is not None:
            log.close()
    report("record", (took, generator.record))


def run_worker(job: Job, worker: int, results: Any, stop: Any, begin: Any) -> None:
    """Run a worker process."""
    # The parent handles SIGINT and tells the workers to stop, so that the run is still reported.
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    try:
        results.put((worker, "ready", None))
        begin.wait(START_TIMEOUT)
        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            runner.run(
                run_generator(job, worker, lambda what, value: results.put((worker, what, value)), stop)
            )
    except ProfileError as e:
        results.put((worker, "profile", str(e)))
    except Exception as e:
        results.put((worker, "fault", f"{type(e).__name__}: {e}"))


def run(
    job: Job, progress: Callable[[float, dict[str, int]], None], on_start: Callable[[], None] = lambda: None
) -> tuple[float, Record]:
    """Run all workers to their end; return the seconds that it took and the merged record.

    SIGINT stops the sending; requests in flight still run to their end and are reported.

    Args:
        job: the parameters of the run.
        progress: called with the seconds since the start and the counts of all workers.
        on_start: called when all workers are ready and start to send.

    Raises:
        ProfileError: the trace can't be read.
        RunError: a worker died.
    """
    context = multiprocessing.get_context("spawn")
    results, stop, begin = context.Queue(), context.Event(), context.Event()
    job = replace(job, run=job.run or f"{os.getpid():x}-{time.time_ns() & 0xFFFFFF:x}-")
    children = [
        context.Process(target=run_worker, args=(job, i, results, stop, begin), daemon=True)
        for i in range(job.workers)
    ]
    collector = Collector(job.workers, begin, progress, on_start)
    previous_handler = signal.signal(signal.SIGINT, lambda *_: stop.set())
    try:
        for child in children:
            child.start()
        while len(collector.done) < job.workers:
            try:
                worker, what, value = results.get(timeout=0.5)
            except queue.Empty:
                dead = [i for i, c in enumerate(children) if not c.is_alive() and i not in collector.done]
                if dead:
                    raise RunError(f"worker {dead[0]} died (exit {children[dead[0]].exitcode})") from None
                continue
            collector.handle(worker, what, value)
    finally:
        signal.signal(signal.SIGINT, previous_handler)
        for child in children:
            if len(collector.done) < job.workers and child.is_alive():
                child.terminate()
            if child.pid is not None:
                child.join(END_TIMEOUT)
    return collector.took, collector.record


class Collector:
    """Collects the messages of the workers."""

    def __init__(
        self,
        workers: int,
        begin: Any,
        progress: Callable[[float, dict[str, int]], None],
        on_start: Callable[[], None],
    ) -> None:
        self.workers = workers
        self.on_start = on_start
        self.begin = begin
        self.progress = progress
        self.counts: dict[int, dict[str, int]] = {}
        self.record = Record()
        self.took = 0.0
        self.ready = 0
        self.done: set[int] = set()

    def handle(self, worker: int, what: str, value: Any) -> None:
        """Handle a message of a worker."""
        match what:
            case "ready":
                self.ready += 1
                if self.ready == self.workers:
                    self.on_start()
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
