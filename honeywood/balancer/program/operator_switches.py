"""Features enabled by an operator file. A subsystem and its libraries are imported only if it is enabled."""

from __future__ import annotations

import threading

from honeywood.balancer.sections import InvalidConfiguration
from honeywood.balancer.transport import clock
from honeywood.balancer.transport.mailbox import Mailbox

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from typing import Any

    from honeywood.balancer.configuration import Configuration
    from honeywood.operator.operator_file import OperatorFile
    from honeywood.trace.recorder import Recorder

MAX_CALLS = 16  # queued for a recorder: its periodic writes and one stop
TRACE_FLUSH_TIMEOUT_S = 5.0  # to write the last records at shutdown


def read_operator_file(environ: Mapping[str, str]) -> OperatorFile | None:
    """Read the operator file named by ROUTER_OPERATOR; None if unset. Raises InvalidConfiguration."""
    path = environ.get("ROUTER_OPERATOR")
    if not path:
        return None
    from honeywood.operator.operator_file import InvalidOperatorFile
    from honeywood.operator.reader import read

    try:
        return read(path)
    except InvalidOperatorFile as error:
        raise InvalidConfiguration(str(error)) from None


def make_recorder(
    operator: OperatorFile | None,
    configuration: Configuration,
    log: Any,
    fail: Callable[[str, BaseException], Any],
) -> Recorder | None:
    """Create the recorder of traces; None if the operator file has no trace block."""
    block = operator.trace if operator else None
    if not block:
        return None
    from honeywood.trace.call_recorder import CallRecorder
    from honeywood.trace.recorder import Recorder

    calls = CallRecorder(block.queue, clock.UNIX_START, block.customer_fields, block.parcel_fields)
    about = {
        "front": configuration.name,
        "unix_start": clock.UNIX_START,
        "settings": configuration.settings_text,
        "front_seed": configuration.seed,
    }
    mailbox = Mailbox("trace", MAX_CALLS, fail)
    return Recorder(block, calls, about, configuration.name, mailbox, clock.now, log)


def stop_recorder(recorder: Recorder) -> None:
    """Stop the recorder and wait, up to a timeout, until its records are written."""
    written = threading.Event()
    recorder.mailbox.post(recorder.stop)
    recorder.mailbox.post(written.set)
    written.wait(TRACE_FLUSH_TIMEOUT_S)
