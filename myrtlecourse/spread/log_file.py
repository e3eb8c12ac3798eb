"""A control node's log on disk: append-only segments, with a checksum per record.

A record is its length and its CRC-32 (4 bytes each) followed by a MessagePack body. An incomplete record at
the end of the last segment is the trace of a crash; it was never reported as stored and is truncated.
Anything else that is invalid is an error.
"""

from __future__ import annotations

import fcntl
import logging
import os
import struct
import zlib
from contextlib import suppress
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from myrtlecourse.durable_files import sync_folder, write_all
from myrtlecourse.spread import replica_events as events
from myrtlecourse.spread.messages import KEY_BYTES, MAX_NUMBER, MAX_VALUE_BYTES, Change, Entry, Purge
from myrtlecourse.spread.replica_events import LogError, LogState, Record

RECORD_HEADER = struct.Struct("<II")
MAX_RECORD_BYTES = 64 * 1024 * 1024  # of a record; the largest one is a snapshot of all subjects
SEGMENT_BYTES = 8 * 1024 * 1024  # size at which the next segment is started
log = logging.getLogger(__name__)

Number = Annotated[int, Meta(ge=0, lt=MAX_NUMBER)]
Key = Annotated[bytes, Meta(min_length=KEY_BYTES, max_length=KEY_BYTES)]
Value = Annotated[bytes, Meta(max_length=MAX_VALUE_BYTES)]
StoredEntry = tuple[Key, Value | None]  # None for a purge


class StoredRecord(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """A record as it is stored on disk."""

    kind: Annotated[int, Meta(ge=0, le=4)]
    number: Number  # an epoch, or the number of an entry
    under: Number = 0
    entries: tuple[StoredEntry, ...] = ()
    numbers: tuple[Number, ...] = ()  # of the changes in a snapshot


DECODER = msgspec.msgpack.Decoder(StoredRecord)


def encode_record(record: Record) -> bytes:
    """Return a record with its length and checksum."""
    match record:
        case events.Promise(epoch):
            stored = StoredRecord(0, epoch)
        case events.Write(first, entry_epoch, entries):
            stored = StoredRecord(1, first, entry_epoch, tuple(map(_stored_entry, entries)))
        case events.Truncate(last):
            stored = StoredRecord(2, last)
        case events.Commit(number):
            stored = StoredRecord(3, number)
        case events.Snapshot(upto, rows):
            stored = StoredRecord(
                4, upto, 0, tuple(_stored_entry(change) for _, change in rows), tuple(n for n, _ in rows)
            )
    body = msgspec.msgpack.encode(stored)
    return RECORD_HEADER.pack(len(body), zlib.crc32(body)) + body


def _stored_entry(entry: Entry) -> StoredEntry:
    return (entry.key, None) if isinstance(entry, Purge) else (entry.subject, entry.value)


def _entry_from(stored: StoredEntry) -> Entry:
    return Purge(stored[0]) if stored[1] is None else Change(stored[0], stored[1])


def decode_record(data: bytes, offset: int) -> tuple[Record, int] | None:
    """Return the record at an offset and the offset of the next one; None if no complete record follows.
    Raises ValueError."""
    if offset + RECORD_HEADER.size > len(data):
        return None
    length, checksum = RECORD_HEADER.unpack_from(data, offset)
    end = offset + RECORD_HEADER.size + length
    if end > len(data):
        return None
    body = data[offset + RECORD_HEADER.size : end]
    if not 0 < length <= MAX_RECORD_BYTES or zlib.crc32(body) != checksum:
        raise ValueError("checksum mismatch")
    stored = DECODER.decode(body)
    entries = tuple(map(_entry_from, stored.entries))
    match stored.kind:
        case 0:
            return events.Promise(stored.number), end
        case 1:
            return events.Write(stored.number, stored.under, entries), end
        case 2:
            return events.Truncate(stored.number), end
        case 3:
            return events.Commit(stored.number), end
    changes = tuple(e for e in entries if isinstance(e, Change))
    return events.Snapshot(stored.number, tuple(zip(stored.numbers, changes, strict=True))), end


class LogFile:
    """One control node's folder, locked by one process."""

    def __init__(self, folder: Path) -> None:
        """Read the log into `state`, which then belongs to the replica.

        Raises:
            LogError: another process has locked the folder, or it does not hold a valid log.
            OSError: the log can't be read or written.
        """
        self.folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        self.lock = os.open(folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self.lock)
            raise LogError(f"{folder}: another process has locked this log") from None
        try:
            self._read()
        except BaseException:
            os.close(self.lock)
            raise

    def _read(self) -> None:
        self.state = LogState()
        snapshot = self.folder / "snapshot"
        if snapshot.exists():
            self.state.apply(self._read_records(snapshot, last=False)[0][0])
        segments = sorted(self.folder.glob("*.log"))
        self.highest_entry: dict[Path, int] = {}  # by segment: the highest entry number in it
        size = 0
        for segment in segments:
            records, size = self._read_records(segment, segment == segments[-1])
            self.highest_entry[segment] = 0
            for record in records:
                try:
                    self.state.apply(record)
                except LogError as e:
                    raise LogError(f"{segment}: {e}") from None
                self._note_entries(segment, record)
        self.promised_epoch, self.commit_index = self.state.promised, self.state.commit_index
        self.snapshot_until = self.state.base  # the snapshot replaces entries up to this number
        self.has_torn_end = False
        self._open_segment(segments[-1] if segments else self.folder / f"{1:016d}.log", size)

    def _read_records(self, path: Path, last: bool) -> tuple[list[Record], int]:
        data, offset, records = path.read_bytes(), 0, list[Record]()
        while offset < len(data):
            try:
                decoded = decode_record(data, offset)
            except (ValueError, msgspec.DecodeError) as e:
                raise LogError(f"{path} at {offset}: {e}") from None
            if decoded is None:
                if not last:
                    raise LogError(f"{path} at {offset}: it ends within a record")
                log.warning("%s: truncating an incomplete record of %d bytes", path, len(data) - offset)
                break
            record, offset = decoded
            records.append(record)
        return records, offset

    def _note_entries(self, segment: Path, record: Record) -> None:
        if isinstance(record, events.Write):
            self.highest_entry[segment] = max(
                self.highest_entry[segment], record.first + len(record.entries) - 1
            )

    def _open_segment(self, path: Path, size: int) -> None:
        """Continue a segment at an offset."""
        self.path, self.size = path, size
        self.highest_entry.setdefault(path, 0)
        self.file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)
        self._truncate()
        sync_folder(self.folder)

    def _truncate(self) -> None:
        """Remove an incomplete record, so that nothing is ever appended after one."""
        os.ftruncate(self.file, self.size)
        os.fsync(self.file)
        self.has_torn_end = False

    def append(self, records: tuple[Record, ...]) -> None:
        """Append records and sync them to disk before returning. Blocks for as long as the disk takes.

        Raises:
            OSError: none of the records is stored, except for a snapshot, which only contains committed
            entries.
        """
        if self.has_torn_end:
            self._truncate()
        for record in records:
            if isinstance(record, events.Snapshot):
                self._write_snapshot(record)
        log_records = [record for record in records if not isinstance(record, events.Snapshot)]
        data = b"".join(map(encode_record, log_records))
        try:
            write_all(self.file, data)
            os.fsync(self.file)
        except OSError:
            self.has_torn_end = True
            self._truncate()
            raise
        self.size += len(data)
        for record in log_records:
            self._note_entries(self.path, record)
            match record:
                case events.Promise(epoch) | events.Write(epoch=epoch):
                    self.promised_epoch = max(epoch, self.promised_epoch)
                case events.Commit(number):
                    self.commit_index = max(number, self.commit_index)
        if self.size >= SEGMENT_BYTES or len(log_records) < len(records):
            try:
                self._start_segment()
            except OSError as e:
                log.warning("%s: no new segment could be started, continuing with this one: %s", self.path, e)

    def _write_snapshot(self, record: events.Snapshot) -> None:
        path = self.folder / "snapshot.new"
        file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            write_all(file, encode_record(record))
            os.fsync(file)
        finally:
            os.close(file)
        path.rename(self.folder / "snapshot")
        sync_folder(self.folder)
        self.snapshot_until = record.upto

    def _start_segment(self) -> None:
        """Start a segment with the state that must outlive older segments, and delete those that the snapshot
        replaces."""
        path = self.folder / f"{int(self.path.stem) + 1:016d}.log"
        data = encode_record(events.Promise(self.promised_epoch)) + encode_record(
            events.Commit(self.commit_index)
        )
        file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC, 0o600)
        try:
            write_all(file, data)
            os.fsync(file)
            sync_folder(self.folder)
        except OSError:
            os.close(file)
            with suppress(OSError):
                path.unlink()
            raise
        os.close(self.file)
        self.file, self.path, self.size = file, path, len(data)
        self.highest_entry[path] = 0
        for old in sorted(self.highest_entry):
            if old == path or self.highest_entry[old] > self.snapshot_until:
                break
            old.unlink()
            del self.highest_entry[old]

    def close(self) -> None:
        """Release the folder for another process."""
        os.close(self.file)
        os.close(self.lock)
