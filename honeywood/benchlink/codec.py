"""Binary layout of the bench's wire: frames in, frames out. Only here do the wire's own names live."""
import json
import struct

from honeywood.interface import IDEMPOTENT, NON_IDEMPOTENT, TOKENED, Method, Settings

HEAD = struct.Struct(">IIQ")
REPLY_HEAD = struct.Struct(">II")
EVENT, ACTION, ENTRY = 40, 24, struct.Struct(">QHfIHBBf")
HELLO, VIEW, KNOCK, ESTABLISHED, OUTCOME, CLIENT_LEFT, ELAPSED, HEALTH = 1, 2, 3, 4, 5, 6, 7, 8
MAIL, EXIT, STEP_NEWS, SCORECARD, WRONG, ROSTER, CONTEXT = 9, 10, 11, 12, 13, 14, 15
# The fields of each event after its code.
EVENTS = {code: struct.Struct(">2x" + form) for code, form in {
    HELLO: "QII", VIEW: "IQB", KNOCK: "QHIQQIB", ESTABLISHED: "QIBI", OUTCOME: "QHBIIBBffff",
    CLIENT_LEFT: "Q", ELAPSED: "I", HEALTH: "IHIBffff", STEP_NEWS: "BHfHBBI", SCORECARD: "HIIIHI",
    WRONG: "IHI", ROSTER: "III", CONTEXT: "I"}.items()}
SOUND_OUT, BAIL_OUT, SOURCE, SHED, RECORD, WAKE, LOSE, TRACK, RETRACT, DELIVER, VOTE = (
    65, 66, 68, 69, 70, 71, 73, 74, 75, 76, 77)
ACTIONS = {code: struct.Struct(">H" + form) for code, form in {
    SOUND_OUT: "I", BAIL_OUT: "II", SOURCE: "I", SHED: "QI", RECORD: "II", WAKE: "II", LOSE: "Q",
    TRACK: "B", RETRACT: "QB", DELIVER: "QIQ", VOTE: "HBB"}.items()}
KINDS = {"safe": IDEMPOTENT, "keyed": TOKENED, "unsafe": NON_IDEMPOTENT}


class BadFrame(Exception):
    """What came in cannot be a frame of this wire."""


def read_frame(stream):
    """Next frame as (clock, records, tail), or None where the input ends between frames."""
    head = stream.read(HEAD.size)
    if not head:
        return None
    if len(head) < HEAD.size:
        raise BadFrame("input ends inside a frame's header")
    count, size, clock = HEAD.unpack(head)
    size -= 8  # the length counts the clock
    if size < count * EVENT:
        raise BadFrame(f"a frame of {size} bytes cannot hold {count} records")
    body = stream.read(size)
    if len(body) < size:
        raise BadFrame("input ends inside a frame")
    return clock, [body[at:at + EVENT] for at in range(0, count * EVENT, EVENT)], body[count * EVENT:]


def fields(code, record):
    return EVENTS[code].unpack_from(record)


def cut(tail, start, length):
    if start + length > len(tail):
        raise BadFrame("a record points past the frame's tail")
    return tail[start:start + length]


def entries(tail, start, count):
    """The lines of a server list: (booted µs, kind, build, machine, cell, zone, status, scale)."""
    return list(ENTRY.iter_unpack(cut(tail, start, count * ENTRY.size)))


class Reply:
    """One frame going out."""

    def __init__(self):
        self.count, self.records, self.tail, self.who = 0, [], b"", None

    def add(self, who, code, *values, text=None):
        if who != self.who:
            self.who = who
            self.put(SOURCE, who)
        if text is not None:
            data = text.encode()
            values += (len(self.tail), len(data))
            self.tail += data
        self.put(code, *values)

    def put(self, code, *values):
        self.count += 1
        self.records.append(ACTIONS[code].pack(code, *values).ljust(ACTION, b"\0"))

    def frame(self):
        body = b"".join(self.records) + self.tail
        return REPLY_HEAD.pack(self.count, len(body)) + body


def units(us):
    """Microseconds as tenths of a millisecond."""
    return int(us) // 100


def settings(text, seed):
    """The wire's settings in this project's words; unknown keys are skipped, absent ones mean 'none'."""
    raw = json.loads(text)
    fam, limits, rules = raw.get("family_info", {}), raw.get("limits", {}), raw.get("rules", {})
    report, prices = raw.get("report", {}), raw.get("prices", {})
    methods = [Method(
        kind=KINDS[p["idempotency"]], soft=units(p["aim_us"]), soft_stretch=p.get("aim_stretch", 0.0),
        deadline=units(p["give_up_us"]), utility=p.get("credit", 1.0), late_utility=p.get("late_worth", 0.0),
        group=p.get("dedup_scope", "all"), window=units(p.get("window_us", 0)), place=place)
        for place, p in enumerate(raw.get("profiles", []))]
    return Settings(
        seed=seed, tick=max(1, units(raw.get("resolution_us", 1000))), zone=raw.get("az", 0),
        fronts=raw.get("balancers", 1), methods=methods,
        max_picks=limits.get("max_attempts", 1), may_duplicate=limits.get("may_duplicate", False),
        may_cancel=limits.get("cancel", False), may_probe=limits.get("probes", False),
        max_wait=units(limits.get("max_retry_after_us", 0)) if limits.get("retry_after") else 0,
        must_ask=raw.get("registry_mode") == "ask", ask_within=units(rules.get("ask_within_us", 0)),
        cold_share=rules.get("cold_share", 1.0),
        cold_time=units(rules.get("cold_us", 0)), tip_multiple=rules.get("tip_multiple", 1.0),
        tip_time=units(rules.get("overload_for_us", 0)),
        report_fields=tuple(report.get("fields", ())) if report.get("source") != "silent" else (),
        cross_price=prices.get("cross_zone", 0.0),
        caps=fam.get("caps", [1.0]),
        waves=fam.get("waves", [1.0]), free_picks=fam.get("allowance", 0.0),
        exposure_window=units(fam.get("exposure_window_us", 0)), per_method=fam.get("per") == "per_lane",
        guarded_steps=fam.get("safe_only_stages", 0), one_way=fam.get("one_way", False),
        vote_rule={"majority": "share", "clocked": "clock"}.get(fam.get("vote_mode"), "any"),
        back_votes=fam.get("back_votes", 1), go_votes=fam.get("votes_to_go", 1),
        vote_life=units(fam.get("ballot_ttl_us", 0)),
        vote_wait=units(fam.get("vote_wait_us", 0)),
        tally_period=units(fam.get("metrics_period_us", 0)))
