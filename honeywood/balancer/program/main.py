"""The program's life cycle: start, graceful shutdown at SIGTERM, and the sudden end that a fault makes."""

from __future__ import annotations

import gc
import os
import signal
import sys
import threading
import time
import traceback

from honeywood.balancer import configuration
from honeywood.balancer.actors.application import Application
from honeywood.balancer.model import SECOND
from honeywood.balancer.program import log
from honeywood.balancer.program.operator_switches import (
    make_recorder,
    read_operator_file,
    stop_recorder,
)
from honeywood.balancer.sections import InvalidConfiguration

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import Any

RELOAD = signal.SIGHUP
HANDLED_SIGNALS = {signal.SIGTERM, signal.SIGINT, RELOAD}
INVALID_STATUS = 2  # of the program, where its configuration or address cannot be used
FAULT_STATUS = 1
ACCEPT_TIME_S = 0.6  # in which new connections may still come after SIGTERM
LAST_ANSWERS_S = 2.0  # for the last answers to be read
CHECK_INTERVAL_S = 0.01  # between looks at whether all have ended
THREAD_SWITCH_INTERVAL_S = 0.05  # after which a thread that waits for the interpreter asks for it
LAST_LINES_S = 0.5  # in which the last lines of the log are written


def fail(where: str, error: BaseException) -> None:
    """An actor that cannot go on ends the program: its peers see that, and it can be started anew."""
    trace = "".join(traceback.format_exception(error))
    print(f"level=error event=fault where={where!r}\n{trace}", flush=True)
    os._exit(FAULT_STATUS)


def main() -> int:
    """Serve until SIGTERM; the status of the program."""
    # Before any thread: only the wait below takes them.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    try:
        given, operator = configuration.read(os.environ), read_operator_file(os.environ)
    except InvalidConfiguration as error:
        print(f"honeywood: {error}", file=sys.stderr)
        return INVALID_STATUS
    output = log.Output(fail)
    logger = log.make_logger(given.name, output)
    recorder = make_recorder(operator, given, logger, fail)
    try:
        application = Application(given, logger, fail, recorder.calls if recorder else None)
    except OSError as error:
        print(f"honeywood: listen: {error}", file=sys.stderr)
        return INVALID_STATUS
    sys.setswitchinterval(THREAD_SWITCH_INTERVAL_S)
    gc.freeze()  # what is here now stays: the collector need not go through it
    logger.info("started", listen=log.format_address(given.listen))
    if recorder:
        recorder.start()
    while (stopped_by := signal.sigwait(HANDLED_SIGNALS)) == RELOAD:
        reload(application, given, logger)
    logger.info("stopping", signal=signal.Signals(stopped_by).name)
    shut_down(application)
    if recorder:
        stop_recorder(recorder)
    logger.info("stopped", clients=len(application.clients))
    written = threading.Event()
    output.call_when_written(written.set)
    written.wait(LAST_LINES_S)
    return 0


def reload(application: Application, given: configuration.Configuration, logger: Any) -> None:
    """Take over the addresses of list and platform; what cannot be used leaves all as it was."""
    try:
        new = configuration.read(os.environ)
    except InvalidConfiguration as error:
        logger.error("configuration_unusable", what=str(error))
        return
    application.change_addresses(new)
    logger.info(
        "configuration",
        discovery=log.format_address(new.discovery),
        platform=log.format_address(new.platform),
    )
    if new.fixed != given.fixed:
        logger.warning("configuration_kept", until="restart", what=", ".join(configuration.FIXED_KEYS))


def shut_down(application: Application) -> None:
    """Go on as before while new connections may still come; then answer all that was taken."""
    application.is_ready = False
    time.sleep(ACCEPT_TIME_S)
    application.drain()
    longest_s = max(method.timeout for method in application.settings.methods) / SECOND
    until = time.monotonic() + longest_s + LAST_ANSWERS_S
    while (application.clients or not application.listener.ended) and time.monotonic() < until:
        time.sleep(CHECK_INTERVAL_S)
