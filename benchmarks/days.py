"""Days of our own for the users' bench, drawn by a seed: python benchmarks/days.py mix SEED,
or python benchmarks/days.py changes COUNT. The day goes to stdout as TOML, for `fleetbench run SITE FILE`.

`mix` draws trouble of the core (every kind and every `how` that `fleetbench kinds` lists may come, the
next one often right after the last is over), with orders all the while. `changes` sends COUNT changes one
after the other, has core machines restarted with and without their disks, and reads back what was last
acknowledged. Days written by hand are in benchmarks/days/.
"""

import sys
from random import Random

WHO = ("leader", "reader", "seed", "")  # which core machine; without a word the bench's seed picks
MORE = ("meet", "race", "hard", "drain")  # what comes with it
CUT = ("", "one_way", "both", "seeds", "reset", "refuse")
REPLACED = "replace_core"  # a core machine leaves for good, and a successor starts with an empty disk
CHANGE = ("route", "weights", "timeout", "quota", "idle")
CLOSING = (
    {"kind": "power_off_all"},
    {"kind": "kill_all"},
    {"kind": "wipe_after_ack"},
    {"kind": "wipe_after_ack", "how": "timed"},
    {"kind": "wipe_after_ack", "how": "aimed"},
)
PAUSES = (0.0, 0.3, 1.0, 2.5, 4.0, 6.0)  # seconds from the end of one core trouble to the next


def entry(at, kind, how=(), **rest):
    words = " ".join(word for word in ([how] if isinstance(how, str) else how) if word)
    return {"at": round(at, 2), "kind": kind, **rest, **({"how": words} if words else {})}


def core_trouble(random, at, lasts):
    """One trouble of the core from `at` for `lasts` seconds."""
    who, more = random.choice(WHO), [word for word in MORE if random.random() < 0.3]
    count = {"count": 1, "for_s": round(lasts, 2)}
    draw = random.randrange(10)
    if draw < 3:
        power = random.choice(("", "power"))
        return entry(at, "node_kill", [who, power, *more], on="core", **count)
    if draw < 5:
        return entry(at, "core_cut", [who, random.choice(CUT), *more], **count)
    if draw == 5:
        how = random.choice(("kill", "timed", "kill timed", "taken"))
        return entry(at, "after_ack_kill", how, for_s=count["for_s"])
    if draw == 6:
        return entry(at, "after_ack_wipe", random.choice(("", "timed", "taken")), for_s=count["for_s"])
    if draw == 7:
        return entry(at, "disk_slow", x=random.choice((10.0, 30.0, 100.0)), **count)
    if draw == 8:
        return entry(at, "herd_kill", random.choice(("", "power", "taken")), on="core", for_s=1.0)
    how = random.choice(("", REPLACED, "busy"))  # `remove` takes no core machine; replace_core does
    if how == REPLACED:
        return entry(at, REPLACED, count=1)
    return entry(at, "roll_term", how, on="core", count=1)


def side_trouble(random, at):
    """Trouble of fronts or of machines beside it."""
    share = round(random.uniform(0.15, 0.5), 2)
    return random.choice(
        (
            entry(at, "node_cut", random.choice(("", "reset", "refuse", "servers")), share=share, for_s=5.0),
            entry(at, "herd_kill", random.choice(("", "power")), share=share, for_s=1.0),
            entry(at, "node_kill", random.choice(("", "power hard", "drain")), share=share, for_s=1.5),
            entry(at, "answer_lost", random.choice(("", "reset")), share=share, x=0.05, for_s=5.0),
            entry(at, "garble", random.choice(("", "extra", "extra late")), share=share, x=0.03, for_s=5.0),
            entry(at, "srv_crash", random.choice(("", "silent", "gone", "across")), share=0.15, for_s=4.0),
        )
    )


def work(random, at):
    """Planned work or an order."""
    return random.choice(
        (
            entry(at, "config_change", random.choice(CHANGE)),
            entry(at, "config_change", random.choice(CHANGE)),
            entry(at, "config_race", count=random.randint(1, 8), gap_s=random.choice((0.1, 0.5, 1.5))),
            entry(at, "bad_config", random.choice(("", "old_version", "same_version")), count=3, gap_s=0.6),
            entry(at, "big_config", count=random.choice((50, 400))),
            entry(at, "release", share=0.4, x=1.0, gap_s=0.8),
            entry(at, "scale_in", random.choice(("", "spot")), share=0.15),
            entry(at, "roll_term", random.choice(("", "busy", "remove", "drain")), share=0.3, gap_s=0.7),
        )
    )


def mix(seed):
    random, length = Random(seed), 44.0
    plan, faults, at = [], [], random.uniform(2, 6)
    while at < length - 9:
        lasts = random.choice((1.0, 1.0, 2.0, 5.0, 12.0, 20.0))
        lasts = min(lasts, length - 6 - at)
        faults.append(core_trouble(random, at, lasts))
        at += lasts + random.choice(PAUSES)
    faults += [side_trouble(random, random.uniform(3, length - 8)) for _ in range(random.randint(0, 3))]
    bad = random.choice(("", "errors", "late", "under_load"))
    more = {"how": bad, "share": 0.5, "gap_s": 3.0} if bad else {}
    kind = "rollout_bad" if bad else "rollout_good"
    plan.append(entry(random.uniform(1, 20), kind, for_s=16.0, **more))
    plan += [work(random, random.uniform(0.5, length - 4)) for _ in range(random.randint(5, 9))]
    return day(f"mix-{seed}", seed, length, plan, faults, random.choice(CLOSING))


def changes(count):
    """So many changes, at three a second; core machines come back in the midst and near the end of them."""
    length = count / 3 + 24.0
    plan = [entry(1 + n / 3, "config_change", CHANGE[n % len(CHANGE)]) for n in range(count)]
    end = 1 + count / 3
    faults = [
        entry(end * 0.3, "node_kill", on="core", count=1, for_s=end * 0.4, how="power leader"),
        entry(end * 0.8, "after_ack_wipe", for_s=2.0),
        entry(end + 2, "node_kill", on="core", count=1, for_s=1.0, how="leader race drain"),
        entry(end + 9, "after_ack_kill", for_s=1.0),
    ]
    closing = {"kind": "wipe_after_ack", "how": "timed"}
    plan.append(entry(end + 9, "config_change", "route"))
    return day(f"changes-{count}", 3600400 + count, length, plan, faults, closing)


def day(name, seed, length, plan, faults, closing):
    """The day's text."""

    def inline(table):
        return "{ " + ", ".join(f"{key} = {value(item)}" for key, item in table.items()) + " }"

    def value(item):
        return f'"{item}"' if isinstance(item, str) else repr(item)

    def listed(entries):
        return "[\n" + "".join(f"  {inline(one)},\n" for one in sorted(entries, key=lambda e: e["at"])) + "]"

    return (
        f'[[day]]\nname = "{name}"\nslot = "trouble"\nseed = {seed}\nlength_s = {length:.1f}\n'
        f"closing = {inline({**closing, 'down_s': 0.8})}\nplan = {listed(plan)}\nfaults = {listed(faults)}\n"
    )


if __name__ == "__main__":
    if len(sys.argv) != 3 or sys.argv[1] not in ("mix", "changes"):
        sys.exit(__doc__)
    print({"mix": mix, "changes": changes}[sys.argv[1]](int(sys.argv[2])), end="")
