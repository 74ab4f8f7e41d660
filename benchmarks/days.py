"""Generates random days (scenarios) for the users' bench from a seed.

    python benchmarks/days.py mix SEED
    python benchmarks/days.py changes COUNT
    python benchmarks/days.py versions SEED SERVICE...

The day is printed to stdout as TOML, for `fleetbench run SITE FILE`.

`mix` generates faults of core machines during a stream of operator requests. Any kind and any `how` that
`fleetbench kinds` lists may occur, and a fault often starts right after the previous one has ended. `changes`
sends COUNT configuration changes one after the other, restarts core machines with and without their disks,
and reads back the change that was acknowledged last. `versions` rolls out a new version of each named service
of the site, most of them faulty, while proxies and controllers restart. Days written by hand are in
benchmarks/days/.
"""

import sys
from random import Random

TARGETS = ("leader", "reader", "seed", "")  # the core machine; if empty, the bench's seed selects one
MODIFIERS = ("meet", "race", "hard", "drain")  # events that accompany the fault
PARTITIONS = ("", "one_way", "both", "seeds", "reset", "refuse")
REPLACE_CORE = "replace_core"  # a core machine leaves permanently; its successor starts with an empty disk
CHANGES = ("route", "weights", "timeout", "quota", "idle")
CLOSING_FAULTS = (
    {"kind": "power_off_all"},
    {"kind": "kill_all"},
    {"kind": "wipe_after_ack"},
    {"kind": "wipe_after_ack", "how": "timed"},
    {"kind": "wipe_after_ack", "how": "aimed"},
)
PAUSES = (0.0, 0.3, 1.0, 2.5, 4.0, 6.0)  # seconds between the end of a core fault and the next one


def entry(at, kind, how=(), **rest):
    """Return an entry of the day's plan or faults; empty words of `how` are left out."""
    words = " ".join(word for word in ([how] if isinstance(how, str) else how) if word)
    return {"at": round(at, 2), "kind": kind, **rest, **({"how": words} if words else {})}


def core_fault(random, at, duration):
    """Return a random fault of core machines, from `at` for `duration` seconds."""
    target, modifiers = random.choice(TARGETS), [word for word in MODIFIERS if random.random() < 0.3]
    count = {"count": 1, "for_s": round(duration, 2)}
    draw = random.randrange(10)
    if draw < 3:
        power = random.choice(("", "power"))
        return entry(at, "node_kill", [target, power, *modifiers], on="core", **count)
    if draw < 5:
        return entry(at, "core_cut", [target, random.choice(PARTITIONS), *modifiers], **count)
    if draw == 5:
        how = random.choice(("kill", "timed", "kill timed", "taken"))
        return entry(at, "after_ack_kill", how, for_s=count["for_s"])
    if draw == 6:
        return entry(at, "after_ack_wipe", random.choice(("", "timed", "taken")), for_s=count["for_s"])
    if draw == 7:
        return entry(at, "disk_slow", x=random.choice((10.0, 30.0, 100.0)), **count)
    if draw == 8:
        return entry(at, "herd_kill", random.choice(("", "power", "taken")), on="core", for_s=1.0)
    how = random.choice(("", REPLACE_CORE, "busy"))  # not `remove`, which skips core machines
    if how == REPLACE_CORE:
        return entry(at, REPLACE_CORE, count=1)
    return entry(at, "roll_term", how, on="core", count=1)


def other_fault(random, at):
    """Return a random fault of proxies or of the machines behind them."""
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


def planned_operation(random, at):
    """Return a random maintenance operation or operator request."""
    return random.choice(
        (
            entry(at, "config_change", random.choice(CHANGES)),
            entry(at, "config_change", random.choice(CHANGES)),
            entry(at, "config_race", count=random.randint(1, 8), gap_s=random.choice((0.1, 0.5, 1.5))),
            entry(at, "bad_config", random.choice(("", "old_version", "same_version")), count=3, gap_s=0.6),
            entry(at, "big_config", count=random.choice((50, 400))),
            entry(at, "release", share=0.4, x=1.0, gap_s=0.8),
            entry(at, "scale_in", random.choice(("", "spot")), share=0.15),
            entry(at, "roll_term", random.choice(("", "busy", "remove", "drain")), share=0.3, gap_s=0.7),
        )
    )


def mix(seed):
    """Return a day with random core faults, other faults, a rollout and operations."""
    random, length = Random(seed), 44.0
    plan, faults, at = [], [], random.uniform(2, 6)
    while at < length - 9:
        duration = random.choice((1.0, 1.0, 2.0, 5.0, 12.0, 20.0))
        duration = min(duration, length - 6 - at)
        faults.append(core_fault(random, at, duration))
        at += duration + random.choice(PAUSES)
    faults += [other_fault(random, random.uniform(3, length - 8)) for _ in range(random.randint(0, 3))]
    failure = random.choice(("", "errors", "late", "under_load"))
    options = {"how": failure, "share": 0.5, "gap_s": 3.0} if failure else {}
    kind = "rollout_bad" if failure else "rollout_good"
    plan.append(entry(random.uniform(1, 20), kind, for_s=16.0, **options))
    plan += [planned_operation(random, random.uniform(0.5, length - 4)) for _ in range(random.randint(5, 9))]
    return day(f"mix-{seed}", seed, length, plan, faults, random.choice(CLOSING_FAULTS))


def changes(count):
    """Return a day with `count` changes, three per second.

    Core machines are restarted halfway through the changes and near their end.
    """
    length = count / 3 + 24.0
    plan = [entry(1 + n / 3, "config_change", CHANGES[n % len(CHANGES)]) for n in range(count)]
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


def rollout(random, service):
    """Return the rollout of a version of `service`, which is good in one of five."""
    at = random.uniform(1.0, 4.0)
    if random.random() < 0.2:
        return entry(at, "rollout_good", for_s=16.0, service=service)
    how = [random.choice(("slow", "errors")), random.choice(("", "", "late", "under_load", "one_class"))]
    strength = {"x": random.choice((4.0, 6.0, 8.0))} if how[0] == "slow" else {}
    share, gap_s = round(random.uniform(0.4, 0.6), 2), round(random.uniform(2.0, 3.5), 1)
    return entry(at, "rollout_bad", how, for_s=16.0, share=share, gap_s=gap_s, service=service, **strength)


def restart(random, at):
    """Return a restart of some proxies or of a controller."""
    return random.choice(
        (
            entry(at, "roll_term", random.choice(("", "busy")), share=0.3, gap_s=0.7),
            entry(at, "roll_term", on="core", count=1),
        )
    )


def versions(seed, services):
    """Return a day with a rollout of each service; on two days of three processes restart meanwhile."""
    random = Random(seed)
    plan = [rollout(random, service) for service in services]
    if seed % 3:
        plan += [restart(random, random.uniform(2.0, 16.0)) for _ in range(seed % 3)]
    return day(f"versions-{seed}", seed, 34.0, plan, [], {"kind": "kill_all"})


def day(name, seed, length, plan, faults, closing):
    """Return the day as TOML."""

    def inline(table):
        return "{ " + ", ".join(f"{key} = {value(item)}" for key, item in table.items()) + " }"

    def value(item):
        return f'"{item}"' if isinstance(item, str) else repr(item)

    def array(entries):
        return "[\n" + "".join(f"  {inline(one)},\n" for one in sorted(entries, key=lambda e: e["at"])) + "]"

    return (
        f'[[day]]\nname = "{name}"\nslot = "trouble"\nseed = {seed}\nlength_s = {length:.1f}\n'
        f"closing = {inline({**closing, 'down_s': 0.8})}\nplan = {array(plan)}\nfaults = {array(faults)}\n"
    )


if __name__ == "__main__":
    match sys.argv[1:]:
        case ["mix", seed_text]:
            print(mix(int(seed_text)), end="")
        case ["changes", count_text]:
            print(changes(int(count_text)), end="")
        case ["versions", seed_text, *service_names] if service_names:
            print(versions(int(seed_text), service_names), end="")
        case _:
            sys.exit(__doc__)
