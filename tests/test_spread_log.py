"""A control node's log on disk: incomplete records, corrupt bytes, full disks, concurrent processes."""

from __future__ import annotations

import errno
import os
from pathlib import Path

import pytest
from hypothesis import HealthCheck, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from myrtlecourse.spread import replica_events as events
from myrtlecourse.spread.log_file import LogFile, encode_record
from myrtlecourse.spread.replica_events import LogError, LogState, Record
from tests.spread_replicas import make_entry

CHECKS = hypothesis_settings(max_examples=60, suppress_health_check=list(HealthCheck))
RECORDS: tuple[Record, ...] = (
    *(
        events.Promise(3),
        events.Write(1, 3, tuple(map(make_entry, range(1, 8)))),
        events.Commit(5),
        events.Truncate(6),
    ),
    *(events.Promise(9), events.Write(6, 9, (make_entry(20), make_entry(21)))),
)
DATA = b"".join(map(encode_record, RECORDS))
FIRST = "0000000000000001.log"


def sums(records: tuple[Record, ...]) -> LogState:
    saved = LogState()
    for record in records:
        saved.apply(record)
    return saved


def read(folder: Path) -> LogState:
    file = LogFile(folder)
    file.close()
    return file.state


def test_what_was_appended_is_read_again(tmp_path: Path) -> None:
    file = LogFile(tmp_path / "log")
    for record in RECORDS:
        file.append((record,))
    file.close()
    assert read(tmp_path / "log") == sums(RECORDS)


@CHECKS
@given(st.integers(0, len(DATA)))
def test_any_beginning_of_the_bytes_reads_as_a_beginning_of_the_records(
    tmp_path_factory: pytest.TempPathFactory, size: int
) -> None:
    folder = tmp_path_factory.mktemp("log")
    (folder / FIRST).write_bytes(DATA[:size])
    whole, place = 0, 0
    while whole < len(RECORDS) and (place := place + len(encode_record(RECORDS[whole]))) <= size:
        whole += 1
    assert read(folder) == sums(RECORDS[:whole])
    file = LogFile(folder)  # the incomplete record is removed, and the next one follows the last complete one
    file.append((events.Promise(50),))
    file.close()
    assert read(folder) == sums((*RECORDS[:whole], events.Promise(50)))


@CHECKS
@given(st.integers(0, len(DATA) - 1), st.integers(1, 255))
def test_a_flipped_byte_is_told_or_cuts_a_torn_end(
    tmp_path_factory: pytest.TempPathFactory, place: int, mask: int
) -> None:
    folder = tmp_path_factory.mktemp("log")
    flipped = bytearray(DATA)
    flipped[place] ^= mask
    (folder / FIRST).write_bytes(flipped)
    try:
        found = read(folder)
    except LogError as e:
        assert FIRST in str(e) and " at " in str(e)
    else:  # a length that points beyond the end can't be told from an incomplete record
        assert found in [sums(RECORDS[:n]) for n in range(len(RECORDS))]


def test_a_segment_before_the_last_that_is_torn_is_an_error(tmp_path: Path) -> None:
    (tmp_path / FIRST).write_bytes(DATA[:-1])
    (tmp_path / "0000000000000002.log").write_bytes(encode_record(events.Promise(10)))
    with pytest.raises(LogError, match=rf"{FIRST} at \d+: it ends within"):
        LogFile(tmp_path)


def test_a_second_process_is_refused(tmp_path: Path) -> None:
    file = LogFile(tmp_path)
    with pytest.raises(LogError, match="another process"):
        LogFile(tmp_path)
    file.close()
    read(tmp_path)


def test_a_full_disk_refuses_what_is_new_and_loses_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    file = LogFile(tmp_path)
    file.append(RECORDS[:2])
    real, left = os.write, [30]

    def write(descriptor: int, data: memoryview) -> int:
        if left[0] == 0:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        left[0] -= (size := min(left[0], len(data)))
        return real(descriptor, data[:size])

    monkeypatch.setattr(os, "write", write)
    with pytest.raises(OSError, match="No space"):
        file.append((events.Write(8, 3, tuple(map(make_entry, range(8, 20)))),))
    monkeypatch.undo()
    file.append((events.Write(8, 3, (make_entry(99),)),))
    file.close()
    assert read(tmp_path) == sums((*RECORDS[:2], events.Write(8, 3, (make_entry(99),))))


def test_a_snapshot_stands_for_older_segments(tmp_path: Path) -> None:
    file, every = LogFile(tmp_path), list[Record]()
    for first in range(1, 301, 100):
        every.append(events.Write(first, 7, tuple(map(make_entry, range(first, first + 100)))))
        file.append((every[-1],))
    every.append(events.Commit(250))
    every.append(sums(tuple(every)).snapshot_at(220))
    file.append(tuple(every[-2:]))
    every.append(sums(tuple(every)).snapshot_at(250))
    every += [events.Write(301, 7, (make_entry(301),)), events.Commit(300), events.Promise(8)]
    file.append(tuple(every[-4:]))
    every.append(sums(tuple(every)).snapshot_at(300))
    file.append((every[-1],))
    # The second segment holds entry 301, which the snapshot does not replace, so it and later ones stay.
    assert sorted(int(path.stem) for path in tmp_path.glob("*.log")) == [2, 3, 4]
    file.close()
    assert read(tmp_path) == sums(tuple(every))
