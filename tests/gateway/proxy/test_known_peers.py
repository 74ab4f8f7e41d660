"""The controllers that a proxy polls."""

from ward import test

from honeywood.gateway.proxy.known_peers import KnownPeers


@test("controllers are added once, and removed unless they are seeds")
def _():
    peers = KnownPeers(["a", "b"])
    peers.add_controllers(["b", "c", "d"])
    assert peers.controllers == ["a", "b", "c", "d"]
    assert peers.remove_controllers(["a", "c", "x"]) == {"c", "x"}
    assert peers.controllers == ["a", "b", "d"]
