"""What all rules share: the breaches found, and when a program, the core or a link was last in trouble."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Breach:
    """A rule that was broken, when, and by what."""

    rule: str
    at_s: float
    why: str

    def __str__(self):
        """What a report says of it."""
        return f"{self.rule} at {self.at_s} s: {self.why}"


class Core:
    """Troubles and breaches of a day."""

    def __init__(self, bounds):
        """`bounds` are the figures of the settings file."""
        self.bounds, self.breaches = bounds, []
        self.touched = {}  # when each program was last in trouble
        self.settled_at, self.links_at = 0.0, 0.0  # when the core, and a link, last were

    def breach(self, rule, now, why):
        """A rule is seen to be broken."""
        self.breaches.append(Breach(rule, round(now, 3), why))

    def disturb(self, now, name, core):
        """Trouble at a program; whoever is in touch has had none for contact_s, nor had the core."""
        self.touched[name] = now
        if core:
            self.settled_at = now

    def link_trouble(self, now):
        """A link is in trouble."""
        self.links_at = now

    def in_touch(self, now, proxy):
        """Whether neither a proxy nor the core has been in trouble for contact_s."""
        since = now - self.bounds["contact_s"]
        return self.touched.get(proxy, 0.0) < since and self.settled_at < since

    def calm_since(self):
        """Since when acknowledgements are owed."""
        return max(self.settled_at + self.bounds["contact_s"], self.links_at)
