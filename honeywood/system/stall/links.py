"""Connections to machines, kept by life; how many there may be is the gate's."""

import httpcore

CONNECT = 0.25  # seconds for a connection to come up
TRUST_S = 8.0  # seconds an idle connection is trusted where the machine doesn't say
EARLY = 1.0  # seconds before its said end that it isn't used any more


class Links:
    """Gives and takes back links of machines."""

    def __init__(self, clock, connect):
        """`connect(ip, port, within, up)` opens one, as Link.to does."""
        self.clock, self.connect, self.dialled = clock, connect, 0

    def idle(self, machine):
        """A kept link that may be used, or None."""
        now = self.clock()
        while machine.links:
            link = machine.links.pop()
            if link.fit and now - link.idle_at < (link.keep or TRUST_S) - EARLY:
                return link
            link.close()
        return None

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
            kept = [
                link
                for link in machine.links
                if link.fit and now - link.idle_at < (link.keep or TRUST_S) - EARLY
            ]
            for link in machine.links:
                if link not in kept:
                    link.close()
            machine.links[:] = kept
