"""Rendezvous hashing (Thaler and Ravishankar, 1998), and the tree of relays that is built on it.

Programs that know the same nodes compute the same ranking, without coordination.
"""

from __future__ import annotations

from _blake2 import blake2b  # hashlib would load OpenSSL

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

FANOUT = 4  # proxies that poll one relay


def weight(node: str, key: str) -> bytes:
    """Returns the hash of a node for a key; the node with the highest weight ranks first."""
    return blake2b(f"{node}|{key}".encode(), digest_size=8).digest()


def rank(nodes: Iterable[str], key: str) -> list[str]:
    """Returns the nodes in their order for `key`, the preferred one first."""
    return sorted(nodes, key=lambda node: weight(node, key), reverse=True)


def relays_of(node: str, zone: str, proxies: Mapping[str, tuple[str, str]]) -> list[str]:
    """Returns the addresses of the proxies that `node` polls, the nearest relay first.

    `proxies` maps each known proxy to its zone and address.

    The proxies of a zone form a tree in the order of their rank, with FANOUT children per node; the root
    polls a controller. A proxy that is not known yet has no relay and polls a controller.
    """
    ranked = rank([name for name, (proxy_zone, _) in proxies.items() if proxy_zone == zone], zone)
    if node not in ranked:
        return []
    addresses, position = [], ranked.index(node)
    while position > 0:
        position = (position - 1) // FANOUT
        addresses.append(proxies[ranked[position]][1])
    return addresses
