"""Finding routes by host and path, and choosing services by weight."""

from routing_fixtures import make_route
from ward import test

from honeywood.gateway.configuration.model import Configuration, Limits
from honeywood.gateway.routing.route_table import RouteTable, choose_service


@test("the longest prefix of a host matches, at segment ends only; the host's case and port are ignored")
def _():
    routes = tuple(make_route(prefix=prefix) for prefix in ("/a/", "/a/b/", "/"))
    table = RouteTable(Configuration(1, routes, {}, Limits()))
    paths = (b"/a/b/c", b"/a/bc", b"/a", b"/a/%2F/..", b"")
    routes_found = [table.find(b"H.example:80", path) for path in paths]
    assert [route and route.prefix for route in routes_found] == ["/a/b/", "/a/", "/", "/a/", None]
    assert table.find(b"other.example", b"/a/") is None


@test("services are chosen in proportion to their weights, and never at weight 0")
def _():
    split = (("s", 90.0), ("t", 0.0), ("u", 10.0))
    chosen = [choose_service(split, n / 1000) for n in range(1000)]
    assert (chosen.count("s"), chosen.count("t"), chosen.count("u")) == (900, 0, 100)
