"""What must hold in every day, in our words, watched over a book of what happened. Pure: all times are told.

once      a request that may not be repeated runs once at most
promise   what was answered 429, 503, 408 or 421 has not run and never does
own       a success carries the answer to the request that it answers
drain     nothing is passed to a machine drain_s after its leaving was acknowledged
apply     apply_s after a version is acknowledged no front in touch goes by an older one
back      within one life no front goes back to an older version
budget    further arrivals at a service stay within the ratio and the slack
exposure  a bad version gets its share and no more, and nothing rollback_s after its 50th bad answer
one end   a rollout is told one end
kept      what was acknowledged is there in the end
served    at least half of what is owed is earned, whatever goes wrong
number    under one number one content is confirmed, as long as no higher number has been sent
refused   a proper order is never answered with a 4xx, first sent or again, whoever answers; of two contents
          under one number the one that is not in force may be answered 412
acks      an order is acknowledged ack_s after it was sent, or after the core settled and all links were sound
reads     a read that begins after an acknowledgement, or after another read ended, shows nothing older, at
          any controller: of configurations the number, of rollouts the order and its end
raised    no handler raises what it should not
"""

from bisect import bisect_left
from collections import Counter, defaultdict

ACTIVE = "active"
CONFLICT = 412  # the answer to another content under a number that is held
PROMISES = (408, 421, 429, 503)
BAD = 50  # bad answers after which a bad version must be stopped


class Book:
    """What happened, and what was broken by it: `broken` holds (rule, seconds, why)."""

    def __init__(self, bounds):
        self.bounds, self.broken = bounds, []
        self.kinds, self.runs, self.promised = {}, Counter(), set()
        self.arrivals, self.extra, self.seen, self.resets = defaultdict(list), defaultdict(list), set(), 0
        self.leaving, self.acked, self.held, self.touched = {}, [], {}, {}
        self.settled_at, self.trial, self.ends, self.sent_at = 0.0, {}, {}, {}
        self.links_at, self.open, self.numbers, self.newest, self.orders = 0.0, {}, {}, -1, {}
        # shown or confirmed: the highest number; {service: {version: state}}
        self.read_config, self.read_rollout = -1, defaultdict(dict)

    def break_(self, rule, now, why):
        self.broken.append((rule, round(now, 3), why))

    def disturb(self, now, name, core):
        """Trouble at a program; whoever is in touch has had none for contact_s, nor had the core."""
        self.touched[name] = now
        if core:
            self.settled_at = now

    def in_touch(self, now, front):
        since = now - self.bounds["contact_s"]
        return self.touched.get(front, 0.0) < since and self.settled_at < since

    # requests
    def asked(self, now, id, svc, safe):
        self.kinds[id], self.sent_at[id] = safe, now
        self.arrivals[svc].append(now)

    def arrived(self, now, id, machine, front):
        if id in self.seen:
            self.extra[machine.svc].append(now)
        self.seen.add(id)
        left = self.leaving.get(machine.id)
        if left is not None and now > left + self.bounds["drain_s"] and self.in_touch(now, front):
            self.break_("drain", now, f"{machine.id}, {now - left:.2f} s after the acknowledgement")

    def ran(self, now, id, machine, front, target, failed):
        self.runs[id] += 1
        if not self.kinds[id]:
            if self.runs[id] > 1:
                self.break_("once", now, f"{id.decode()} runs again at {machine.id}")
            if id in self.promised:
                self.break_("promise", now, f"{id.decode()} runs after its promise")
        trial = self.trial.get(machine.svc)
        if trial is not None and machine.ver == trial["ver"]:
            self._exposed(now, trial, id, failed or machine.slow > 0, front)

    def _exposed(self, now, trial, id, bad, front):
        since = self.sent_at[id]
        if not self.in_touch(now, front):
            return
        trial["got"] += 1
        trial["bad"] += bad
        if trial["bad"] == BAD and bad:
            trial["stop"] = now + self.bounds["rollback_s"]
        if since > trial.get("stop", 1e9) and self.settled_at < trial["stop"] - self.bounds["rollback_s"]:
            self.break_("exposure", now, f"{since - trial['stop']:.2f} s too late")

    def answered(self, now, id, status, body):
        if status in PROMISES:
            self.promised.add(id)
            if not self.kinds[id] and self.runs[id]:
                self.break_("promise", now, f"{id.decode()} was answered {status} and had run")
        if 200 <= status < 300 and body != id:
            self.break_("own", now, f"{id.decode()} got the answer of {body!r}")

    def reset(self):
        self.resets += 1

    # control
    def trouble(self, now):
        """A link is in trouble."""
        self.links_at = now

    def sent(self, now, order):
        """An order is sent for the first time: ("config", number, text) or ("rollout", service, version).
        A rollout comes after those of its service that were confirmed before it was sent."""
        if order[0] == "config":
            self.newest = max(self.newest, order[1])
            texts = self.numbers.setdefault(order[1], {})
            if order[2] not in texts:
                texts[order[2]], self.open[order] = False, now
        elif order not in self.orders:
            self.open[order] = now
            self.orders[order] = {ver for ver, told in self.read_rollout[order[1]].items() if told}

    def dropped(self, order):
        """Nobody sends it any more."""
        self.open.pop(order, None)

    def refused(self, now, order, status):
        self.open.pop(order, None)
        contested = status == CONFLICT and order[0] == "config" and len(self.numbers[order[1]]) > 1
        if not contested or self.numbers[order[1]][order[2]]:
            self.break_("refused", now, f"{order[:2]} is answered {status}")

    def acknowledged(self, now, order):
        """An order is confirmed, the first time or again."""
        self.open.pop(order, None)
        if order[0] == "rollout":
            self.read_rollout[order[1]].setdefault(order[2], ACTIVE)
            return
        _, number, text = order
        self.acked.append((now, number))
        self.read_config = max(self.read_config, number)
        texts = self.numbers[number]
        texts[text] = True
        for other in texts:  # who lost is not owed an acknowledgement
            self.open.pop(("config", number, other), None)
        if number >= self.newest and sum(texts.values()) > 1:
            self.break_("number", now, f"two contents are confirmed under {number}")

    def overdue(self, now):
        """A look at orders that should have been acknowledged."""
        calm = max(self.settled_at + self.bounds["contact_s"], self.links_at)
        for order, since in list(self.open.items()):
            if now - max(since, calm) > self.bounds["ack_s"]:
                self.break_("acks", now, f"{order[:2]}, sent at {since:.2f}, calm since {calm:.2f}")
                del self.open[order]

    def floor(self, svc=None):
        """What a read that begins now must show at least."""
        return self.read_config if svc is None else dict(self.read_rollout[svc])

    def read(self, now, floor, number, text, where):
        """A configuration was read, None where there was said to be none."""
        number = -1 if number is None else number
        if number < floor:
            self.break_("reads", now, f"{where} shows {number} after {floor}")
        texts = [one for one, confirmed in self.numbers.get(number, {}).items() if confirmed]
        if len(texts) == 1 and text != texts[0] and number == self.newest:
            self.break_("reads", now, f"{where} shows another content under {number}")
        self.read_config = max(self.read_config, number)

    def read_state(self, now, floor, svc, ver, state, where):
        """A rollout was read; `ver` is None where there was said to be none."""
        gone = any(ver in self.orders[("rollout", svc, later)] for later in floor)
        if gone or floor and ver is None or state == ACTIVE and floor.get(ver, ACTIVE) != ACTIVE:
            self.break_("reads", now, f"{where} shows {svc} {ver} {state} after {floor}")
        if ver is not None:
            known = self.read_rollout[svc].get(ver, ACTIVE)
            self.read_rollout[svc][ver] = state if known == ACTIVE else known
            self.told(now, svc, ver, state)

    def left(self, now, id):
        self.leaving.setdefault(id, now)

    def holds(self, now, front, life, version):
        """A look at the version that a front goes by."""
        before = self.held.get((front, life), -1)
        version = -1 if version is None else version
        if version < before:
            self.break_("back", now, f"{front} goes from {before} to {version}")
        self.held[front, life] = version
        due = [one for at, one in self.acked if at < now - self.bounds["apply_s"]]
        if version >= 0 and due and version < max(due) and self.in_touch(now, front):
            self.break_("apply", now, f"{front} goes by {version}, not {max(due)}")

    def ordered(self, now, svc, ver, bad):
        self.trial[svc] = {"ver": ver, "from": now, "got": 0, "bad": 0} if bad else None

    def told(self, now, svc, ver, state):
        if state == ACTIVE:
            return
        ended = self.ends.setdefault((svc, ver), state)
        if ended != state:
            self.break_("one end", now, f"{svc} {ver}: {ended}, then {state}")

    # the end
    def close(self, now, read):
        """Looks that need the whole day; `read` is the version read back from a majority, or None."""
        newest = max([version for _, version in self.acked], default=None)
        if newest is not None and (read is None or read < newest):
            self.break_("kept", now, f"read back {read}, acknowledged {newest}")
        window, ratio, slack = (self.bounds[key] for key in ("retry_win_s", "retry_ratio", "retry_slack"))
        for svc, times in self.extra.items():
            asked = self.arrivals[svc]
            for at, time in enumerate(times):
                spent = at + 1 - bisect_left(times, time - window)
                spans = (time - window, time), (time - 2 * window, time - window)
                spans += ((time - 1.5 * window, time - 0.5 * window),)
                most = max(bisect_left(asked, end) - bisect_left(asked, start) for start, end in spans)
                if spent > ratio * most + slack:
                    self.break_("budget", time, f"{svc}: {spent} further arrivals for {most} requests")
                    break
        for svc, trial in self.trial.items():
            if trial:
                asked = len(self.arrivals[svc]) - bisect_left(self.arrivals[svc], trial["from"])
                if trial["got"] > self.bounds["canary_share"] * asked + self.bounds["canary_slack"]:
                    self.break_("exposure", now, f"{svc}: {trial['got']} of {asked}")
