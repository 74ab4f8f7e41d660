"""Who knows whom: rendezvous hashing. Every program that knows the same names comes to the same order."""

from _blake2 import blake2b  # hashlib would bring OpenSSL

FAN = 4  # fronts that hear from one relay


def weight(name, place):
    """A hash of both; the name with the highest weight is the first for a place."""
    return blake2b(f"{name}|{place}".encode(), digest_size=8).digest()


def order(names, place):
    """The names, the one that `place` falls to first."""
    return sorted(names, key=lambda name: weight(name, place), reverse=True)


def parents(node, zone, fronts):
    """The addresses that a front asks for news, the nearest relay first, out of {node: (zone, ip)}.

    The fronts of a zone stand in one order; each hears from the one FAN places nearer its start, the first
    from a controller. Who knows no others, or is not known yet, has no relay and asks a controller.
    """
    ranks = order([name for name, (place, _) in fronts.items() if place == zone], zone)
    if node not in ranks:
        return []
    found, at = [], ranks.index(node)
    while at > 0:
        at = (at - 1) // FAN
        found.append(fronts[ranks[at]][1])
    return found
