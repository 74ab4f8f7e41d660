"""Connections to machines, kept by life; how many there may be is the gate's."""

from math import inf

import httpcore

CONNECT = 0.25  # seconds for a connection to come up
TRUST_S = 8.0  # seconds an idle connection is trusted where the machine doesn't say
EARLY = 1.0  # seconds before its said end that it isn't used any more
AT_ONCE = 0.01  # seconds: what breaks so soon after a request was sent had been forgotten by the machine
RESTED = 0.1  # seconds: what rested less was not
LEARNT = 0.75  # of the rest after which one was forgotten, a service's connections are trusted
UNLEARNT_S = 10.0  # seconds after which that is forgotten again


class ConnectionPool:
    """Gives and takes back links of machines."""

    def __init__(self, clock, connect):
        """`connect(ip, port, within, up)` opens one, as Connection.to does."""
        self.clock, self.connect, self.dialled = clock, connect, 0
        self.learnt = {}  # {service: (seconds that its connections may rest, since when)}

    def idle(self, machine):
        """A kept link that may be used, or None."""
        now = self.clock()
        while machine.links:
            link = machine.links.pop()
            if self.trusted(now, machine, link):
                return link
            link.close()
        return None

    def trusted(self, now, machine, link):
        """Whether a kept link may be used. Machines may forget connections sooner than they say, silently:
        a request is lost on the first, and if it may not be repeated, that is its end."""
        rest, since = self.learnt.get(machine.svc, (inf, -inf))
        most = (link.keep or TRUST_S) - EARLY
        if now - since < UNLEARNT_S:
            most = min(most, rest)
        return link.fit and now - link.idle_at < most

    def broke(self, machine, rested, took):
        """A link on which a request was sent after `rested` seconds broke within `took` seconds."""
        if took < AT_ONCE and rested > RESTED:
            now = self.clock()
            rest, since = self.learnt.get(machine.svc, (inf, -inf))
            self.learnt[machine.svc] = min(rested * LEARNT, rest if now - since < UNLEARNT_S else inf), now

    async def dial(self, machine, until):
        """A new link, or None where the machine is not reached in time."""
        self.dialled += 1
        machine.dialling += 1
        within = max(0.001, min(CONNECT, until - self.clock()))
        try:
            link = await self.connect(machine.ip, machine.port, within, machine.joined)
        except (httpcore.ConnectError, httpcore.ConnectTimeout):
            return None
        finally:
            machine.dialling -= 1
        link.home = lambda link: self.back(machine, link)
        return link

    def back(self, machine, link):
        """Keeps a link for later, unless it or its machine has ended."""
        if link.fit and machine.state == "ready":
            machine.links.append(link)
        else:
            link.close()

    def drop(self, machine):
        """Ends what is kept of a machine that has left."""
        for link in machine.links:
            link.close()
        machine.links.clear()

    def tidy(self, machines):
        """Ends what is too old; called now and then."""
        now = self.clock()
        for machine in machines:
            kept = [link for link in machine.links if self.trusted(now, machine, link)]
            for link in machine.links:
                if link not in kept:
                    link.close()
            machine.links[:] = kept
