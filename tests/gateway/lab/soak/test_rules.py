"""Tests of the soak's rules: a record with a single fault violates the corresponding rule."""

from ward import each, test

from honeywood.lab.soak.record import ClientRequest, Execution, Record
from honeywood.lab.soak.rules import Rule, find_violations


def good_record():
    """Return a record of a served request, one whose client disconnected, and one that is not idempotent."""
    record = Record(acknowledged_version=3, read_back_version=3, open_at_end={"p": 0.0})
    record.owners["k"].add("t")
    record.requests = {
        b"a": ClientRequest(b"a", True, "p", "k", 1.0, None, 200, b"a"),
        b"b": ClientRequest(b"b", True, "p", "k", 2.0, disconnected_at=2.1),
        b"c": ClientRequest(b"c", False, "p", "k", 3.0, None, 200, b"c", operation=b"c"),
        b"d": ClientRequest(b"d", False, "p", "k", 4.0, None, 503, operation=b"d"),
        b"e": ClientRequest(b"e", False, "p", "k", 4.1, None, 200, b"e", operation=b"d"),
        b"f": ClientRequest(b"f", False, "p", "k", 5.0, is_unread=True, operation=b"f"),
        b"g": ClientRequest(b"g", False, "p", "k", 6.0, operation=b"g", unanswered_at=6.2),
    }
    record.kills["p"].append(6.1)
    record.executions = [
        Execution(b"a", "t", False, 1.0, 1.1),
        Execution(b"b", "t", False, 2.0, 2.2),
        Execution(b"c", "t", False, 3.0, 3.1),
        Execution(b"e", "t", False, 4.1, 4.2),
        Execution(b"g", "t", False, 6.0, 6.1),
    ]
    return record


def execute(id):
    """Return a change of a record: another request was executed."""
    return lambda record: record.executions.append(Execution(id, "t", False, 9.0, 9.1))


def violated_rules(change):
    record = good_record()
    change(record)
    return {violation.rule for violation in find_violations(record)}


@test("a record without a fault violates no rule; a fault violates {rule}")
def _(
    rule=each(
        *(Rule.CANCELLATION, Rule.CANCELLATION, Rule.AT_MOST_ONCE, Rule.NOT_EXECUTED, Rule.OWN_RESPONSE),
        *(Rule.TENANT, Rule.API_KEY, Rule.API_KEY, Rule.DURABILITY, Rule.NO_LEAK, Rule.NO_ERROR),
        *(Rule.AVAILABILITY, Rule.NOT_EXECUTED, Rule.AT_MOST_ONCE, Rule.NOT_EXECUTED, Rule.RESPONSE),
    ),
    change=each(
        lambda record: setattr(record.executions[1], "ended_at", 2.7),
        lambda record: setattr(record.executions[1], "ended_at", None),
        lambda record: record.executions.append(Execution(b"c", "t", False, 3.0, 3.1)),
        lambda record: setattr(record.requests[b"c"], "status", 503),
        lambda record: setattr(record.requests[b"a"], "body", b"c"),
        lambda record: setattr(record.executions[0], "tenant", "other"),
        lambda record: setattr(record.executions[0], "has_api_key", True),
        lambda record: record.owners.clear(),
        lambda record: setattr(record, "read_back_version", 2),
        lambda record: record.open_at_end.update(p=1.0),
        lambda record: record.errors.append("a line"),
        lambda record: [setattr(request, "status", 503) for request in record.requests.values()],
        execute(b"d"),
        execute(b"d"),  # although the other request of its operation was executed
        execute(b"f"),
        lambda record: record.kills.clear(),
    ),
):
    assert not violated_rules(lambda record: None)
    assert rule in violated_rules(change)


@test("late work after a disconnect is allowed if proxy or machine was disturbed or the observer was late")
def _():
    def late(record):
        record.executions[1].ended_at = 2.7

    def disturbed(record):
        late(record)
        record.disturbances["p"].append((2.9, 3.5))

    def machine_paused(record):
        late(record)
        record.executions[1].machine = "m"
        record.disturbances["m"].append((1.9, 2.5))

    def observer_late(record):
        late(record)
        record.observer_lag_s = 0.2

    assert violated_rules(late) == {Rule.CANCELLATION}
    assert not violated_rules(disturbed)
    assert not violated_rules(machine_paused)
    assert not violated_rules(observer_late)
