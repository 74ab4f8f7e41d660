"""The program's life cycle: start, graceful shutdown on SIGTERM, and immediate exit on a fault."""

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
INVALID_STATUS = 2  # exit status: the configuration or the listen address cannot be used
FAULT_STATUS = 1  # exit status: a fault in an actor
ACCEPT_TIME_S = 0.6  # after SIGTERM, in which new connections are still accepted
LAST_ANSWERS_S = 2.0  # for clients to read the last answers
CHECK_INTERVAL_S = 0.01  # between checks of whether all connections have ended
THREAD_SWITCH_INTERVAL_S = 0.05  # after which a waiting thread requests the interpreter lock
LOG_FLUSH_TIMEOUT_S = 0.5  # to write the last lines of the log


def fail(thread_name: str, error: BaseException) -> None:
    """End the program because an actor has failed, so that its peers notice it and it can be restarted."""
    trace = "".join(traceback.format_exception(error))
    print(f"level=error event=fault where={thread_name!r}\n{trace}", flush=True)
    os._exit(FAULT_STATUS)


def main() -> int:
    """Serve until SIGTERM or SIGINT; return the exit status."""
    # Blocked before any thread starts, so that only sigwait() below receives these signals.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    try:
        loaded, operator_file = configuration.read(os.environ), read_operator_file(os.environ)
    except InvalidConfiguration as error:
        print(f"honeywood: {error}", file=sys.stderr)
        return INVALID_STATUS
    output = log.Output(fail)
    logger = log.make_logger(loaded.name, output)
    recorder = make_recorder(operator_file, loaded, logger, fail)
    try:
        application = Application(loaded, logger, fail, recorder.calls if recorder else None)
    except OSError as error:
        print(f"honeywood: listen: {error}", file=sys.stderr)
        return INVALID_STATUS
    sys.setswitchinterval(THREAD_SWITCH_INTERVAL_S)
    gc.freeze()  # existing objects stay for good; the garbage collector need not scan them
    logger.info("started", listen=log.format_address(loaded.listen))
    if recorder:
        recorder.start()
    while (stopped_by := signal.sigwait(HANDLED_SIGNALS)) == RELOAD:
        reload(application, loaded, logger)
    logger.info("stopping", signal=signal.Signals(stopped_by).name)
    shut_down(application)
    if recorder:
        stop_recorder(recorder)
    logger.info("stopped", clients=len(application.clients))
    written = threading.Event()
    output.call_when_written(written.set)
    written.wait(LOG_FLUSH_TIMEOUT_S)
    return 0


def reload(application: Application, loaded: configuration.Configuration, logger: Any) -> None:
    """Use the new addresses of discovery and the platform; an invalid configuration changes nothing."""
    try:
        new_configuration = configuration.read(os.environ)
    except InvalidConfiguration as error:
        logger.error("configuration_unusable", what=str(error))
        return
    application.change_addresses(new_configuration)
    logger.info(
        "configuration",
        discovery=log.format_address(new_configuration.discovery),
        platform=log.format_address(new_configuration.platform),
    )
    if new_configuration.fixed != loaded.fixed:
        logger.warning("configuration_kept", until="restart", what=", ".join(configuration.FIXED_KEYS))


def shut_down(application: Application) -> None:
    """Serve as before while new connections may still arrive, then close after the open RPCs are answered."""
    application.is_ready = False
    time.sleep(ACCEPT_TIME_S)
    application.drain()
    longest_s = max(method.timeout for method in application.settings.methods) / SECOND
    until = time.monotonic() + longest_s + LAST_ANSWERS_S
    while (application.clients or not application.listener.ended) and time.monotonic() < until:
        time.sleep(CHECK_INTERVAL_S)
