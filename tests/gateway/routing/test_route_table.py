"""Routes by host and path, and services by weight."""

from routing_fixtures import make_route
from ward import test

from honeywood.gateway.configuration.model import Configuration, Limits
from honeywood.gateway.routing.route_table import RouteTable, choose_service


@test("the longest prefix of a host matches, at segment ends only, whatever the host's case and port")
def _():
    routes = tuple(make_route(prefix=prefix) for prefix in ("/a/", "/a/b/", "/"))
    table = RouteTable(Configuration(1, routes, {}, Limits()))
    paths = (b"/a/b/c", b"/a/bc", b"/a", b"/a/%2F/..", b"")
    found = [table.find(b"H.example:80", path) for path in paths]
    assert [one and one.prefix for one in found] == ["/a/b/", "/a/", "/", "/a/", None]
    assert table.find(b"other.example", b"/a/") is None


@test("services are chosen in proportion to their weights, and never at weight 0")
def _():
    split = (("s", 90.0), ("t", 0.0), ("u", 10.0))
    chosen = [choose_service(split, n / 1000) for n in range(1000)]
    assert (chosen.count("s"), chosen.count("t"), chosen.count("u")) == (900, 0, 100)
