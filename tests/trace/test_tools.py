"""The tools on trace files: cut, merge, show, replay and the others; and the recorder of a balancer."""

import json
import os
import random
import subprocess
import sys
import threading
import types

import pytest

from honeywood.balancer.transport.mailbox import Mailbox
from honeywood.lab.world import World
from honeywood.standins.release import Load
from honeywood.trace import sample
from honeywood.trace.call_recorder import CallRecorder
from honeywood.trace.reader import Reader
from honeywood.trace.recorder import Recorder
from honeywood.trace.rules.selection import RecordFilter
from honeywood.trace.schema import ARRIVAL, ATTEMPT, DROPPED, KINDS, RELEASE_UPDATE, TIMER
from honeywood.trace.writer import create

SECOND = 10_000


def trace(*arguments, code=0, **options):
    done = subprocess.run(
        [sys.executable, "-m", "honeywood", "trace", *map(str, arguments)],
        capture_output=True,
        timeout=120,
        **options,
    )
    assert done.returncode == code, (arguments, done.stdout, done.stderr)
    return done.stdout, done.stderr.decode()


def records(path, **options):
    with Reader(path, **options) as reader:
        return [tuple(record) for record in reader.records()]


@pytest.fixture(scope="module")
def hour(tmp_path_factory):
    path = tmp_path_factory.mktemp("hour") / "hour.trace"
    trace("sample", "--records", 60_000, "--seed", 3, path)
    return path


def test_a_seed_determines_the_sample(hour, tmp_path):
    writer = create(tmp_path / "again", sample.metadata(3))
    sample.write(writer, 60_000, 3, lambda done: None)
    assert records(tmp_path / "again") == records(hour) and len(records(hour)) == 60_000


def test_cut_by_time_method_and_rpc(hour, tmp_path):
    everything = records(hour)
    trace("cut", "--from", "+600", "--to", "+900", "-o", tmp_path / "cut", hour)
    since = everything[0][0] + 600 * SECOND
    assert records(tmp_path / "cut") == [r for r in everything if since <= r[0] < since + 300 * SECOND]
    taken = next(r for r in everything if r[2] == ARRIVAL.number)
    number, name = taken[3][:2]
    out, _ = trace("cut", "--rpc", name, "-o", "-", hour)
    (tmp_path / "one").write_bytes(out)
    rpc_records = [r for r in everything if "rpc" in KINDS[r[2]].positions and r[3][0] == number]
    assert records(tmp_path / "one") == rpc_records
    out, _ = trace("show", "--server", "s007", "--kind", "pick", "--json", "-", input=hour.read_bytes())
    shown = [json.loads(line) for line in out.splitlines()]
    assert len(shown) == sum(r[2] == ATTEMPT.number and r[3][2] == "s007" for r in everything) > 100
    trace("cut", "-o", tmp_path / "cut", hour, code=2)  # an existing file is not overwritten


def test_a_reused_id_shows_the_history_of_each_rpc(tmp_path):
    """Retries of a client keep their id: all of these RPCs are shown, not only the first."""
    writer = create(tmp_path / "t", {"front": "f", "run": "r"})
    for number in range(1, 4):
        writer.block(
            [
                (number, 0, ARRIVAL.number, (number, "again", "m", "", "", "", 0, 9, 0, number > 1)),
                (number, 0, 4, (number, "m", 1, 2, 100, 0, (), ())),
            ]
        )
    writer.close()
    shown = trace("show", "--rpc", "again", tmp_path / "t")[0].decode()
    assert shown.count("taken: m again") == 3 == shown.count("too many RPCs were open")
    assert shown.count("a repeat by its client") == 2
    assert "no such RPC" in trace("show", "--rpc", "other", tmp_path / "t")[0].decode()


def test_a_history_in_two_files_is_shown_completely(tmp_path):
    """A file may end while RPCs are open. RPC numbers belong to a run: other runs are not mixed in."""
    for name, run, rows in (
        ("1", "r", [(1, 0, ARRIVAL.number, (7, "x", "m", "", "", "", 0, 9, 0, 0))]),
        ("2", "r", [(5, 0, 4, (7, "m", 0, 0, 0, 4, (), ()))]),
        ("3", "other", [(6, 0, 4, (7, "m", 2, 3, 0, 4, (), ()))]),
    ):
        writer = create(tmp_path / name, {"front": "f", "run": run})
        writer.block(rows)
        writer.close()
    shown = trace("show", "--rpc", "x", *(tmp_path / name for name in "321"))[0].decode()
    assert "answered: ok" in shown and "aborted" not in shown and "INCONSISTENT" not in shown


def test_summary_counts_the_records(hour):
    got = json.loads(trace("summary", "--json", hour)[0])
    everything = records(hour)
    assert got["records"] == 60_000 and got["kinds"]["taken"] == sum(
        r[2] == ARRIVAL.number for r in everything
    )
    assert sum(got["picks_by_server"].values()) == got["kinds"]["pick"]
    latencies = sorted(r[3][5] for r in everything if r[2] == 4 and r[3][1] == "bag-assign" and r[3][2] == 0)
    p95 = got["methods"]["bag-assign"]["latency_ms"]["p95"] * 10
    assert abs(p95 / latencies[int(0.95 * len(latencies))] - 1) < 0.03
    assert "bag-assign" in trace("summary", hour)[0].decode()


def test_index_is_rebuilt_and_a_torn_tail_cut_off(hour, tmp_path):
    whole = hour.read_bytes()
    with Reader(hour) as reader:
        ends = [offset + size for offset, size, _ in reader.entries()]
    torn = tmp_path / "torn"
    torn.write_bytes(whole[: ends[-1] - 100])
    assert "index missing, torn tail" in trace("verify", torn)[0].decode()
    kept = records(torn)
    assert b"bytes of a torn tail cut off" in trace("index", torn)[0]
    assert records(torn) == kept == records(hour)[: len(kept)]
    assert "index there" in trace("verify", torn)[0].decode()
    damaged = bytearray(whole)
    damaged[ends[0] + 500] ^= 4
    torn.write_bytes(damaged)
    assert "damaged" in trace("verify", torn, code=1)[0].decode()


def balancer_files(folder, count, generator):
    """Write one run of each of `count` balancers, in several files, with skewed clocks.

    All receive the same release updates and have different RPCs. Returns the paths, and by balancer the true
    time of each of its records.
    """
    paths, true_times = [], {}
    for number in range(count):
        offset = generator.uniform(-10, 10) * SECOND if number else 0
        rate = generator.uniform(-200e-6, 200e-6) if number else 0
        own_rows, update_rows = [], []
        for second in range(600):
            time = 10**13 + second * SECOND
            if second % 5 == 0:
                update_rows.append(
                    (time + generator.randrange(50), RELEASE_UPDATE, (2, second // 5, 0.5, 0, 0, 1, 0))
                )
            arrival_values = (second, f"f{number}-{second}", "m", "", "", "", 0, 9, 0, 0)
            own_rows.append((time + generator.randrange(SECOND), ARRIVAL, arrival_values))
        rows = sorted(own_rows + update_rows, key=lambda row: row[0])
        true_times[f"f{number}"] = [time for time, *_ in rows]
        skewed_rows = [
            (round((time - 10**13) * (1 + rate) + 10**13 + offset), 0, kind.number, values)
            for time, kind, values in rows
        ]
        for part in range(3):
            path = folder / f"f{number}-{part}"
            writer = create(path, {"front": f"f{number}", "run": f"run{number}"})
            writer.block(skewed_rows[part * 240 : (part + 1) * 240])
            writer.close()
            paths.append(path)
    return paths, true_times


def test_ten_balancers_are_merged_in_true_order(tmp_path):
    """Each clock is off by up to 10 s and drifts by up to 200 ppm.

    There are 30 files; one is passed twice, one is a copy and one a cut of another.
    """
    generator = random.Random(8)
    paths, true_times = balancer_files(tmp_path, 10, generator)
    trace("cut", "--from", "+10", "--to", "+20", "-o", tmp_path / "part", paths[4])
    (tmp_path / "copy").write_bytes(paths[7].read_bytes())
    generator.shuffle(paths)
    first = next(path for path in paths if path.name.startswith("f0"))
    ordered = [first, *paths, tmp_path / "part", tmp_path / "copy"]
    _, messages = trace("merge", "-o", tmp_path / "all", *ordered)
    assert messages.count("the same file again, left out") == 2 and "and merged once" in messages
    with Reader(tmp_path / "all") as reader:
        fronts = [source["front"] for source in reader.metadata["sources"]]
        got = list(reader.records())
    assert [record.time for record in got] == sorted(record.time for record in got)
    assert len(got) == sum(map(len, true_times.values()))
    for source_index, front in enumerate(fronts):
        times = [record.time for record in got if record.source == source_index]
        assert max(abs(a - b) for a, b in zip(times, true_times[front], strict=True)) <= 200  # 20 ms


def test_merge_reports_undetermined_skew(tmp_path):
    for name in "ab":
        writer = create(tmp_path / name, {"front": name, "run": name})
        writer.block([(5 * SECOND, 0, TIMER.number, ())])
        writer.close()
    arguments = ["merge", "-o", tmp_path / "out", tmp_path / "a", tmp_path / "b"]
    assert "--skew FRONT=SECONDS" in trace(*arguments, code=3)[1] and not (tmp_path / "out").exists()
    trace(*arguments, "--skew", "b=-1.5")
    assert [(r[0], r[1]) for r in records(tmp_path / "out")] == [(35_000, 1), (50_000, 0)]


def test_anonymise_requires_a_private_key_file(hour, tmp_path):
    key, out = tmp_path / "key", tmp_path / "out"
    trace("anonymise", "--key", key, "--make-key", "--customer", "carrier-1", "-o", out, hour)
    assert key.stat().st_mode & 0o777 == 0o600
    assert b"carrier" not in out.read_bytes() and len(records(out)) > 1000
    taken = sum(r[2] == ARRIVAL.number and r[3][3] == "carrier-1" for r in records(hour))
    numbers = [r[3][0] for r in records(out) if r[2] == ARRIVAL.number]
    assert numbers == list(range(1, taken + 1))
    os.chmod(key, 0o644)
    arguments = "anonymise", "--key", key, "--customer", "x", "-o", tmp_path / "no", hour
    assert "others may read it" in trace(*arguments, code=2)[1]


def test_replay_refuses_a_sample(hour):
    assert "can't be replayed" in trace("replay", hour, code=2)[1]


def test_plot_writes_an_image(hour, tmp_path):
    trace("plot", "-o", tmp_path / "hour.png", hour)
    assert (tmp_path / "hour.png").read_bytes().startswith(b"\x89PNG")


OPERATOR = 'trace {{\n  folder = "{}"\n  block_age = "20ms"\n  file_age = "1s"\n}}\n'


def test_a_recorded_release_replays_with_the_same_decisions(tmp_path):
    """End to end: balancer, recorder, files, tools. Files end after a second, so that there are several."""
    with World(tmp_path) as world:
        world.start(OPERATOR.format(tmp_path / "trace"), "front 1")
        release = threading.Timer(0.5, world.release, (2, 4, 0.3))
        release.start()
        answers = Load(world.listen, 250, 20, 5).run()
        release.join()
        assert world.stop() == 0
    paths = sorted((tmp_path / "trace").glob("front_1-*.trace"))
    assert len(paths) > 1
    everything = [record for path in paths for record in records(path)]
    status_by_outcome = {0: 200, 1: 503, 2: 502}
    statuses = sorted(status_by_outcome[record[3][2]] for record in everything if record[2] == 4)
    assert statuses == sorted(status for _, status, _ in answers)
    result = json.loads(trace("replay", "--json", *paths)[0])["front 1 (" + paths[0].stem[8:16] + ")"]
    assert result["exact"] and not result["differ"] and result["same"]["answer"] == len(answers)
    assert result["same"]["pick"] >= len(answers) - statuses.count(503)
    answered_rpc = next(record[3][0] for record in everything if record[2] == 4 and record[3][2] == 0)
    name = next(
        record[3][1] for record in everything if record[2] == ARRIVAL.number and record[3][0] == answered_rpc
    )
    shown = trace("show", "--rpc", name, *paths)[0].decode()
    assert "taken:" in shown and "answered: ok" in shown and "might be sent to" in shown
    assert "INCONSISTENT" not in shown
    trace("verify", *paths)


def make_recorder(folder, log, **options):
    settings = types.SimpleNamespace(
        **{
            "folder": str(folder),
            "most_bytes": 10**9,
            "longest_age": 10**12,
            "file_bytes": 10**6,
            "file_age": 10**9,
            "block_age": 10,
            "sync": "never",
            **options,
        }
    )
    logger = types.SimpleNamespace(
        info=lambda event, **fields: log.append(("info", event)),
        error=lambda event, **fields: log.append(("error", event)),
    )
    return Recorder(
        settings, CallRecorder(1000, 0, (), ()), {"front": "f"}, "f", Mailbox("t", 9, None), lambda: 0, logger
    )


def test_a_full_disk_is_logged_once_a_minute_and_recording_resumes(tmp_path, monkeypatch):
    log = []
    recorder = make_recorder(tmp_path / "t", log)
    full = [False]
    put = os.write  # the writer's file is replaced by one on a disk that `full` makes fail

    class Disk:
        name = "disk"

        def __init__(self, path, *_, **__):
            self.file = os.open(path, os.O_CREAT | os.O_EXCL | os.O_WRONLY)

        def write(self, data):
            if full[0]:
                raise OSError(28, "No space left on device")
            return put(self.file, data)

        def fileno(self):
            return self.file

        def close(self):
            os.close(self.file)

    monkeypatch.setattr("honeywood.trace.writer.open", Disk, raising=False)

    def record_timers(at, count=5):
        for _ in range(count):
            recorder.calls.on_timer(at)
        recorder.write_due(at + 10)

    record_timers(0)
    full[0] = True
    for at in range(SECOND, 130 * SECOND, SECOND):
        record_timers(at)
    assert log == [("error", "trace_stopped")] * 3  # at 1 s, and once a minute
    full[0] = False
    record_timers(200 * SECOND)
    assert log[-1] == ("info", "trace_goes_on")
    recorder.stop()
    first, *_, last = sorted((tmp_path / "t").iterdir())
    assert len(records(first)) == 5
    kept = records(last)
    assert kept[0][2] == DROPPED.number and kept[0][3][0] == 129 * 5 and len(kept) == 6


def test_an_invalid_record_is_dropped_alone(tmp_path):
    """Service discovery may return a server name of a megabyte."""
    log = []
    recorder = make_recorder(tmp_path / "t", log)
    for number in range(50):
        recorder.calls.put(0, ATTEMPT, (number, 0, "s" * (5000 if number == 17 else 1), 1, "m", 0, (), (), 0))
    recorder.write_due(10)
    recorder.calls.on_timer(20)
    recorder.write_due(30)
    recorder.stop()
    (path,) = (tmp_path / "t").iterdir()
    got = records(path)
    assert [r[3][0] for r in got if r[2] == ATTEMPT.number] == [n for n in range(50) if n != 17] and not log
    assert [r[3][0] for r in got if r[2] == DROPPED.number] == [1]


def test_two_balancers_never_write_one_file_and_old_files_are_deleted(tmp_path):
    log = []
    one, two = (
        make_recorder(tmp_path, log, file_bytes=1, most_bytes=3000, longest_age=10**12) for _ in range(2)
    )
    for at in range(0, 400, 20):
        for recorder in (one, two):
            for n in range(100):
                recorder.calls.put(at, ARRIVAL, (n, f"{random.random()}", "m", "", "", "", 0, 0, 0, 0))
            recorder.write_due(at + 10)
    open_files = {recorder.file.name for recorder in (one, two)}
    left = list(tmp_path.iterdir())
    assert len(open_files) == 2 and {path.name for path in left} >= {
        os.path.basename(name) for name in open_files
    }
    assert len(left) < 8 and not log  # of 40 files
    one.stop()
    two.stop()
    assert all(len(records(path)) == 100 for path in tmp_path.iterdir())
    assert all(path.stat().st_mode & 0o077 == 0 for path in tmp_path.iterdir())  # they contain identifiers


def test_a_file_deleted_by_another_balancer_does_not_stop_the_recorder(tmp_path, monkeypatch):
    log = []
    recorder = make_recorder(tmp_path, log)
    monkeypatch.setattr("honeywood.trace.recorder.files_to_delete", lambda *_: ["f-gone.trace"])
    recorder.calls.on_timer(0)
    recorder.write_due(10)
    recorder.stop()
    (path,) = tmp_path.iterdir()
    assert len(records(path)) == 1 and not log


def test_only_matching_blocks_are_read(hour):
    """A cut of a minute reads the blocks of that minute, not the file."""
    with Reader(hour) as reader:
        entries = [entry for _, _, entry in reader.entries()]
        record_filter = RecordFilter(since=entries[3].first, until=entries[3].first + SECOND)
        assert 1 <= sum(map(record_filter.may_contain, entries)) <= 2
