"""What an operator file switches on. Nothing of a subsystem, nor of its libraries, is imported unless it
is."""

import threading

from honeywood.balancer.sections import InvalidConfiguration
from honeywood.balancer.transport import clock
from honeywood.balancer.transport.mailbox import Mailbox

MOST_CALLS = 16  # of a recorder: its own looks and the one stop
LAST_BLOCKS = 5.0  # seconds in which what was recorded last is written, at a stop


def read(environ):
    """The operator file that ROUTER_OPERATOR names, or None; raises InvalidConfiguration."""
    path = environ.get("ROUTER_OPERATOR")
    if not path:
        return None
    from honeywood.operator.rules import BadFile
    from honeywood.operator.read import read as read_file

    try:
        return read_file(path)
    except BadFile as bad:
        raise InvalidConfiguration(str(bad)) from None


def recorder(operator, config, log, fail):
    """trace.recorder.Recorder, or None where the operator file has no trace block."""
    given = operator and operator.block("trace")
    if not given:
        return None
    from honeywood.trace.recorder import Recorder
    from honeywood.trace.call_recorder import CallRecorder

    calls = CallRecorder(given.queue, clock.UNIX_START, given.customer_fields, given.parcel_fields)
    about = {
        "front": config.name,
        "unix_start": clock.UNIX_START,
        "settings": config.settings_text,
        "front_seed": config.seed,
    }
    return Recorder(given, calls, about, config.name, Mailbox("trace", MOST_CALLS, fail), clock.now, log)


def stop(recorder):
    """Waits until what was recorded is written, for a while at the most."""
    written = threading.Event()
    recorder.mailbox.post(recorder.stop)
    recorder.mailbox.post(written.set)
    written.wait(LAST_BLOCKS)
