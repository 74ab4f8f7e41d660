"""Load reports in responses."""

from ward import each, test

from honeywood.gateway.proxy.load_report import record_load_report
from honeywood.gateway.routing.endpoint import Endpoint


@test("the report {report} leaves {slots} slots and a load of {load}")
def _(
    report=each(None, b"3,2,6", b"0,0,0", b"3,2", b"a,b,c", b"1,0,4,5"),
    slots=each(1, 6, 1, 1, 1, 1),
    load=each(0.0, 4.0, 0.0, 0.0, 0.0, 0.0),
):
    endpoint = Endpoint("m", "s", 1.0)
    record_load_report(1.0, endpoint, report)
    assert (endpoint.slots, endpoint.load(1.0)) == (slots, load)
