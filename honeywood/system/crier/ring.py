"""Who knows whom: rendezvous hashing. Every program that knows the same names comes to the same order."""
from hashlib import blake2b


def weight(name, place):
    return blake2b(f"{name}|{place}".encode(), digest_size=8).digest()


def order(names, place):
    """The names, the one that `place` falls to first."""
    return sorted(names, key=lambda name: weight(name, place), reverse=True)
