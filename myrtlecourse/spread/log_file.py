"""The log of a control machine on its disk: segments that are only added to, each record with its checksum.

A record is its length and CRC-32 (4 bytes each) and a MessagePack body. What a crash has torn at the end of
the last segment was never told to be stored, and is cut off; all else that does not fit is an error.
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

from myrtlecourse.checked import sync_folder, write_all
from myrtlecourse.spread import replica_events as at
from myrtlecourse.spread.replica_events import LogError, Record, Saved
from myrtlecourse.spread.messages import KEY, LARGEST, LONGEST_VALUE, Change, Entry, Purge

HEAD = struct.Struct("<II")
MOST_BYTES = 64 * 1024 * 1024  # of a record: a table of all subjects
SEGMENT = 8 * 1024 * 1024  # bytes after which the next one is begun
log = logging.getLogger(__name__)

Number = Annotated[int, Meta(ge=0, lt=LARGEST)]
Key = Annotated[bytes, Meta(min_length=KEY, max_length=KEY)]
Value = Annotated[bytes, Meta(max_length=LONGEST_VALUE)]
Plain = tuple[Key, Value | None]  # a purge has no value


class Row(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """A record as it lies on the disk."""

    kind: Annotated[int, Meta(ge=0, le=4)]
    number: Number  # an epoch, or the entry's that is meant
    under: Number = 0
    entries: tuple[Plain, ...] = ()
    numbers: tuple[Number, ...] = ()  # of a snapshot's changes


DECODER = msgspec.msgpack.Decoder(Row)


def packed(record: Record) -> bytes:
    """A record with its length and checksum."""
    match record:
        case at.Promise(epoch):
            row = Row(0, epoch)
        case at.Write(first, under, entries):
            row = Row(1, first, under, tuple(map(_plain, entries)))
        case at.Cut(last):
            row = Row(2, last)
        case at.Lasts(number):
            row = Row(3, number)
        case at.Snapshot(upto, rows):
            row = Row(4, upto, 0, tuple(_plain(change) for _, change in rows), tuple(n for n, _ in rows))
    body = msgspec.msgpack.encode(row)
    return HEAD.pack(len(body), zlib.crc32(body)) + body


def _plain(entry: Entry) -> Plain:
    return (entry.key, None) if isinstance(entry, Purge) else (entry.subject, entry.value)


def _entry(plain: Plain) -> Entry:
    return Purge(plain[0]) if plain[1] is None else Change(plain[0], plain[1])


def unpacked(data: bytes, place: int) -> tuple[Record, int] | None:
    """The record at a place and where the next begins; None: none is whole there. Raises ValueError."""
    if place + HEAD.size > len(data):
        return None
    length, checksum = HEAD.unpack_from(data, place)
    end = place + HEAD.size + length
    if end > len(data):
        return None
    body = data[place + HEAD.size : end]
    if not 0 < length <= MOST_BYTES or zlib.crc32(body) != checksum:
        raise ValueError("its checksum does not fit")
    row = DECODER.decode(body)
    entries = tuple(map(_entry, row.entries))
    match row.kind:
        case 0:
            return at.Promise(row.number), end
        case 1:
            return at.Write(row.number, row.under, entries), end
        case 2:
            return at.Cut(row.number), end
        case 3:
            return at.Lasts(row.number), end
    changes = tuple(e for e in entries if isinstance(e, Change))
    return at.Snapshot(row.number, tuple(zip(row.numbers, changes, strict=True))), end


class LogFile:
    """One machine's folder, held by one process."""

    def __init__(self, folder: Path) -> None:
        """Read it, into `saved`, which is handed to the head and then its own.

        Raises:
            LogError: another process has it, or what it holds is no log.
            OSError: it can't be read or written.
        """
        self.folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        self.lock = os.open(folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self.lock)
            raise LogError(f"{folder}: another process writes this log") from None
        try:
            self._read()
        except BaseException:
            os.close(self.lock)
            raise

    def _read(self) -> None:
        self.saved = Saved()
        snapshot = self.folder / "snapshot"
        if snapshot.exists():
            self.saved.take(self._records(snapshot, last=False)[0][0])
        segments = sorted(self.folder.glob("*.log"))
        self.highest: dict[Path, int] = {}  # number that each segment names
        size = 0
        for segment in segments:
            records, size = self._records(segment, segment == segments[-1])
            self.highest[segment] = 0
            for record in records:
                try:
                    self.saved.take(record)
                except LogError as e:
                    raise LogError(f"{segment}: {e}") from None
                self._note(segment, record)
        self.promised, self.lasting = self.saved.promised, self.saved.settled
        self.upto = self.saved.base  # numbers that the snapshot stands for
        self.torn = False
        self._open(segments[-1] if segments else self.folder / f"{1:016d}.log", size)

    def _records(self, path: Path, last: bool) -> tuple[list[Record], int]:
        data, place, found = path.read_bytes(), 0, list[Record]()
        while place < len(data):
            try:
                one = unpacked(data, place)
            except (ValueError, msgspec.DecodeError) as e:
                raise LogError(f"{path} at {place}: {e}") from None
            if one is None:
                if not last:
                    raise LogError(f"{path} at {place}: it ends within a record")
                log.warning("%s: a torn record of %d bytes is cut off", path, len(data) - place)
                break
            record, place = one
            found.append(record)
        return found, place

    def _note(self, segment: Path, record: Record) -> None:
        if isinstance(record, at.Write):
            self.highest[segment] = max(self.highest[segment], record.first + len(record.entries) - 1)

    def _open(self, path: Path, size: int) -> None:
        """Go on with a segment from so many bytes on."""
        self.path, self.size = path, size
        self.highest.setdefault(path, 0)
        self.file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)
        self._cut()
        sync_folder(self.folder)

    def _cut(self) -> None:
        """Guards the log: nothing is written behind what is torn."""
        os.ftruncate(self.file, self.size)
        os.fsync(self.file)
        self.torn = False

    def append(self, records: tuple[Record, ...]) -> None:
        """Write records down, on the disk before this returns. Blocks, as long as a disk may.

        Raises:
            OSError: none of them is there, but for a snapshot, which says nothing that did not last.
        """
        if self.torn:
            self._cut()
        for record in records:
            if isinstance(record, at.Snapshot):
                self._snapshot(record)
        rest = [record for record in records if not isinstance(record, at.Snapshot)]
        data = b"".join(map(packed, rest))
        try:
            write_all(self.file, data)
            os.fsync(self.file)
        except OSError:
            self.torn = True
            self._cut()
            raise
        self.size += len(data)
        for record in rest:
            self._note(self.path, record)
            match record:
                case at.Promise(epoch) | at.Write(under=epoch):
                    self.promised = max(epoch, self.promised)
                case at.Lasts(number):
                    self.lasting = max(number, self.lasting)
        if self.size >= SEGMENT or len(rest) < len(records):
            try:
                self._roll()
            except OSError as e:
                log.warning("%s: goes on in its segment: %s", self.path, e)

    def _snapshot(self, record: at.Snapshot) -> None:
        new = self.folder / "snapshot.new"
        file = os.open(new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            write_all(file, packed(record))
            os.fsync(file)
        finally:
            os.close(file)
        new.rename(self.folder / "snapshot")
        sync_folder(self.folder)
        self.upto = record.upto

    def _roll(self) -> None:
        """Begin a segment, which says again what must not go with older ones, and drop those that may."""
        path = self.folder / f"{int(self.path.stem) + 1:016d}.log"
        data = packed(at.Promise(self.promised)) + packed(at.Lasts(self.lasting))
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
        self.highest[path] = 0
        for old in sorted(self.highest):
            if old == path or self.highest[old] > self.upto:
                break
            old.unlink()
            del self.highest[old]

    def close(self) -> None:
        """Let another process have it."""
        os.close(self.file)
        os.close(self.lock)
