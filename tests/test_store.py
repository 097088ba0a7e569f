"""Tests of the durable log: recovery after a crash at any byte, corruption, and disks that fail or lie."""

import asyncio
import shutil
import tempfile
from pathlib import Path
from random import Random

import pytest
from rig import story

from ramppulley.standin.disk import LyingDisk
from ramppulley.store import frames
from ramppulley.store.disk import Disk
from ramppulley.store.frames import IDENTITY_SIZE, CorruptRange, Record, encode_frame, scan_segment
from ramppulley.store.log import IDENTITY_FILE, InvalidLog, LogUnavailable, open_log, read_log

LOG = b"i" * IDENTITY_SIZE


def make_segment(count, number=0, previous=0, identity=LOG, flushed=lambda n: n, epoch=1):
    """(bytes, end offset of each frame, checksum of the last frame)."""
    raw, ends = b"", []
    for n in range(number, number + count):
        frame, previous = encode_frame(identity, Record(n, epoch, 1, b"record %d" % n), flushed(n), previous)
        raw += frame
        ends.append(len(raw))
    return raw, ends, previous


def test_a_crash_at_any_byte_loses_no_whole_record_and_reads_no_part_of_one():
    raw, ends, _ = make_segment(6)
    for cut in range(len(raw) + 1):
        found = scan_segment(LOG, raw[:cut], 0, 0)
        whole = sum(end <= cut for end in ends)
        assert [r.number for r in found.records] == list(range(whole)) and not found.corrupt_ranges
        assert found.end == ([0] + ends)[whole] and found.torn == cut - found.end


def test_rubbish_behind_the_last_record_is_a_torn_tail_whatever_it_is():
    raw, ends, _ = make_segment(4)
    for seed in range(200):
        found = scan_segment(LOG, raw + Random(seed).randbytes(1 + seed), 0, 0)
        assert len(found.records) == 4 and not found.corrupt_ranges and found.end == ends[-1]


def test_a_flipped_bit_before_what_is_known_to_be_flushed_is_rot_and_the_rest_is_still_read():
    raw, ends, _ = make_segment(8)
    for at in range(ends[5]):
        damaged = raw[:at] + bytes([raw[at] ^ 1 << at % 8]) + raw[at + 1 :]
        found, damaged_number = scan_segment(LOG, damaged, 0, 0), sum(end <= at for end in ends)
        assert found.corrupt_ranges == [
            CorruptRange(damaged_number, damaged_number + 1, ([0] + ends)[damaged_number])
        ], at
        assert [r.number for r in found.records] == [n for n in range(8) if n != damaged_number]


def test_what_was_not_flushed_when_a_later_frame_was_written_is_a_torn_tail():
    raw, ends, _ = make_segment(6, flushed=lambda n: min(n, 3))  # numbers under 3 are flushed
    damaged = raw[: ends[3] + 2] + b"\0" * 8 + raw[ends[3] + 10 :]
    found = scan_segment(LOG, damaged, 0, 0)
    assert [r.number for r in found.records] == [0, 1, 2, 3] and not found.corrupt_ranges and found.torn


def test_a_closed_segment_has_no_torn_tail():
    raw, ends, _ = make_segment(5)
    found = scan_segment(LOG, raw[:-3], 0, 0, until=5)
    assert found.corrupt_ranges == [CorruptRange(4, 5, ends[3])] and not found.torn
    # frames left by a failed flush were written again in the next segment
    found = scan_segment(LOG, raw, 0, 0, until=3)
    assert [r.number for r in found.records] == [0, 1, 2] and not found.corrupt_ranges and not found.torn


@pytest.mark.parametrize("what", ["another log's", "an older life's", "of another place"])
def test_whole_frames_that_do_not_belong_there_are_not_read(what):
    raw, ends, checksum = make_segment(5)
    foreign = {
        "another log's": make_segment(2, 5, checksum, b"j" * IDENTITY_SIZE)[0],
        "an older life's": make_segment(2, 5, 12345)[0],
        "of another place": make_segment(2, 9, checksum)[0],
    }[what]
    found = scan_segment(LOG, raw + foreign, 0, 0)
    assert [r.number for r in found.records][:5] == list(range(5))
    if what == "another log's":
        assert len(found.records) == 5 and found.torn == len(foreign)
    else:
        assert found.corrupt_ranges and found.corrupt_ranges[0].first == 5


def test_a_record_too_large_is_refused_before_it_is_written():
    with pytest.raises(ValueError, match="exceeds the maximum"):
        encode_frame(LOG, Record(0, 1, 1, b"x" * (frames.MAX_PAYLOAD + 1)), 0, 0)


# The log on a disk
def opened(folder, disk=None, **options):
    return open_log(folder, "c", "r0", disk or Disk(), Random(1), **options)


async def append_records(folder, count, disk=None, **options):
    log, _ = opened(folder, disk, **options)
    numbers = [await log.append(1, b"%d" % n) for n in range(count)]
    await log.close()
    return numbers


def read(folder):
    _, found, *_ = read_log(folder, "c", "r0", Disk())
    return found


def in_folder(test):
    @story
    async def run():
        with tempfile.TemporaryDirectory(prefix="rp-test-") as folder:
            await test(Path(folder) / "log")

    run.__name__ = test.__name__
    return run


@in_folder
async def test_what_was_promised_is_there_after_each_opening(folder):
    for _ in range(3):
        await append_records(folder, 5, max_segment_size=100)
    found = read(folder)
    assert [r.payload for r in found.records] == [b"%d" % n for n in range(5)] * 3
    assert found.generation == 3 and not found.corrupt_ranges and not found.new
    assert sorted({r.number for r in found.records}) == [r.number for r in found.records]


@in_folder
async def test_records_that_come_together_go_in_one_flush(folder):
    log, _ = opened(folder)
    await asyncio.gather(*(log.append(1, b"x") for _ in range(200)))
    await log.close()
    assert log.flushes <= 4 and len(read(folder).records) == 200


@in_folder
async def test_after_a_crash_at_any_byte_of_the_last_segment_the_log_goes_on(folder):
    await append_records(folder, 3)
    segment = next(folder.glob("*.seg"))
    raw = segment.read_bytes()
    for cut in range(0, len(raw), 7):
        copy = folder.with_name("copy")
        shutil.rmtree(copy, ignore_errors=True)
        shutil.copytree(folder, copy)
        (copy / segment.name).write_bytes(raw[:cut])
        before = len(read(copy).records)
        assert len(await append_records(copy, 2)) == 2
        found = read(copy)
        assert len(found.records) == before + 2 and not found.corrupt_ranges and not found.torn


@pytest.mark.parametrize("fault", ["flush_fails", "full", "torn", "lost", "elsewhere", "flush_lies"])
@pytest.mark.parametrize("cut", [False, True])
def test_a_disk_that_lies_for_a_while_loses_nothing_promised_without_saying_so(fault, cut):
    @in_folder
    async def scenario(folder):
        for seed in range(6):
            shutil.rmtree(folder, ignore_errors=True)
            disk, confirmed, rng = LyingDisk(Random(seed)), [], Random(seed)
            log, _ = opened(folder, disk, max_segment_size=200)
            first_fault = rng.randrange(10)
            for number in range(14):
                disk.fault = fault if first_fault <= number < first_fault + 3 else ""
                try:
                    confirmed.append((await log.append(1, b"%d" % number), b"%d" % number))
                except OSError:
                    assert fault in ("flush_fails", "full")
            await log.close()
            if cut:
                disk.power_cut()
            found = read(folder)
            readable = {(r.number, r.payload) for r in found.records}
            last = max((r.number for r in found.records), default=-1)
            for number, payload in confirmed:
                lost = any(corrupt.first <= number < corrupt.end for corrupt in found.corrupt_ranges)
                # a lost tail is only detected by comparison with the replicas
                tail = number > last and fault not in ("flush_fails", "full")
                assert (number, payload) in readable or lost or tail, (fault, seed, number, found.corrupt_ranges)
            if fault in ("flush_fails", "full"):
                assert not found.corrupt_ranges

    scenario()


@in_folder
async def test_a_failed_flush_is_not_tried_again_in_the_same_segment(folder):
    disk = LyingDisk(Random(1))
    log, _ = opened(folder, disk)
    await log.append(1, b"a")
    disk.fault = "flush_fails"
    with pytest.raises(OSError):
        await log.append(1, b"b")
    disk.fault = ""
    await log.append(1, b"c")
    await log.close()
    assert len(list(folder.glob("*.seg"))) == 2 and [r.payload for r in read(folder).records] == [b"a", b"c"]


@in_folder
async def test_a_full_disk_is_told_at_once_and_nothing_more_is_taken(folder):
    disk = LyingDisk(Random(1), "")
    log, _ = opened(folder, disk)
    disk.fault = "full"
    with pytest.raises(OSError):
        await log.append(1, b"a")
    with pytest.raises(LogUnavailable):
        await log.append(1, b"b")
    await log.close()


@in_folder
async def test_what_is_not_wanted_any_more_is_taken_away_and_the_rest_stays(folder):
    log, _ = opened(folder, max_segment_size=100)
    numbers = [await log.append(1, b"%d" % n) for n in range(20)]
    await log.discard_before(numbers[10])
    await log.append(1, b"20")
    await log.close()
    remaining = [int(r.payload) for r in read(folder).records]
    assert remaining[-11:] == list(range(10, 21)) and len(remaining) < 14 and not read(folder).corrupt_ranges


@in_folder
async def test_a_folder_that_is_not_ours_is_refused_and_left_as_it_is(folder):
    await append_records(folder, 2)
    for cluster, owner, text in (("d", "r0", "cluster 'c'"), ("c", "r1", "router 'r0'")):
        with pytest.raises(InvalidLog, match=text):
            open_log(folder, cluster, owner, Disk(), Random(1))
    raw = (folder / IDENTITY_FILE).read_bytes()
    (folder / IDENTITY_FILE).write_bytes(raw[:5])
    with pytest.raises(InvalidLog, match="never started over"):
        opened(folder)
    (folder / IDENTITY_FILE).unlink()
    with pytest.raises(InvalidLog, match="never started over"):
        opened(folder)
    assert len(list(folder.glob("*.seg"))) == 1


@in_folder
async def test_an_operator_reads_a_folder_and_is_told_of_rot_by_the_exit_code(folder):
    from typer.testing import CliRunner

    from ramppulley.cli.main import app

    await append_records(folder, 9, max_segment_size=100)
    result = CliRunner().invoke(app, ["store", "verify", str(folder)])
    assert result.exit_code == 0 and "9 records" in result.output
    assert CliRunner().invoke(app, ["store", "show", str(folder), "--json"]).output.count("bytes") == 9
    segment = sorted(folder.glob("*.seg"))[0]
    raw = segment.read_bytes()
    segment.write_bytes(raw[:60] + b"xx" + raw[62:])
    result = CliRunner().invoke(app, ["store", "verify", str(folder)])
    assert result.exit_code == 1 and "ROT" in result.output
    result = CliRunner().invoke(app, ["store", "verify", str(folder / "nowhere")])
    assert result.exit_code == 2 and "no such folder" in result.output
