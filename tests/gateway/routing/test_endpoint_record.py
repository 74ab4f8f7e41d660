"""Machine records and their effect on the endpoint table."""

from routing_fixtures import router
from timeline import machine
from ward import each, raises, test

from honeywood.gateway.routing.endpoint_record import EndpointRecord
from honeywood.gateway.routing.endpoint_state import EndpointState


@test("a record's wire fields are decoded and applied to the endpoint")
def _(router=router):
    record = EndpointRecord.decode({**machine("i", "v2", slots=0, state="draining"), "cold": 1.5})
    assert record == EndpointRecord(EndpointState.DRAINING, "s", "i", 1, "z", "v2", 1, 1.5)
    router.endpoints.update(2.0, "i", record)
    endpoint = router["i"]
    assert (endpoint.service, endpoint.version, endpoint.warm_at) == ("s", "v2", 3.5)


@test("a record of the state {state} needs no other field, and removes the endpoint from the table")
def _(router=router, state=each("gone", "silent")):
    endpoint = router["m"]
    assert router.endpoints.update(1.0, "m", EndpointRecord.decode({"state": state})) is endpoint
    assert "m" not in router.endpoints.by_id and endpoint not in router.endpoints.of("s")
    assert router.endpoints.update(1.0, "m", EndpointRecord.decode({"state": state})) is None


@test("a draining endpoint is returned as out of service once")
def _(router=router):
    assert router.update("m", "draining") is router["m"]
    assert router.update("m", "draining") is None


@test("a machine in an unknown state is not ready")
def _(router=router):
    record = EndpointRecord.decode(machine("m", state="starting"))
    assert record.state is not EndpointState.READY and not record.has_ended
    assert router.endpoints.update(0.0, "m", record) is router["m"]  # out of service, as if draining


@test("a record with a missing field is refused")
def _():
    with raises(KeyError):
        EndpointRecord.decode({"state": "ready"})
