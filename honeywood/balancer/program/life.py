"""The life of the program: start, a planned stop at SIGTERM, and the sudden end that a fault makes."""

import gc
import os
import signal
import sys
import threading
import time
import traceback

from honeywood.balancer.model import SECOND
from honeywood.balancer.program import configuration, log, switches
from honeywood.balancer.actors.gateway import Gateway
from honeywood.balancer.sections import InvalidConfiguration

AGAIN = signal.SIGHUP
TAKEN = {signal.SIGTERM, signal.SIGINT, AGAIN}
COMING, SPARE = 0.6, 2.0  # seconds: so long new connections may come; for the last answers to be read
SWITCH = 0.05  # seconds after which a thread that waits for the interpreter asks for it
FLUSHED = 0.5  # seconds in which the last lines of the log are written


def fail(where, wrong):
    """An actor that cannot go on ends the program: its peers see that, and it can be started anew."""
    trace = "".join(traceback.format_exception(wrong))
    print(f"level=error event=fault where={where!r}\n{trace}", flush=True)
    os._exit(1)


def main():
    # Before any thread: only the wait below takes them.
    signal.pthread_sigmask(signal.SIG_BLOCK, TAKEN)
    try:
        given, operator = configuration.read(os.environ), switches.read(os.environ)
    except InvalidConfiguration as bad:
        print(f"honeywood: {bad}", file=sys.stderr)
        return 2
    output = log.Output(fail)
    logger = log.make(given.name, output)
    recorder = switches.recorder(operator, given, logger, fail)
    try:
        gateway = Gateway(given, logger, fail, recorder and recorder.calls)
    except OSError as wrong:
        print(f"honeywood: listen: {wrong}", file=sys.stderr)
        return 2
    sys.setswitchinterval(SWITCH)
    gc.freeze()  # what is here now stays: the collector need not go through it
    logger.info("started", listen=log.name(given.listen))
    if recorder:
        recorder.start()
    while (stopped_by := signal.sigwait(TAKEN)) == AGAIN:
        read_again(gateway, given, logger)
    logger.info("stopping", signal=signal.Signals(stopped_by).name)
    stop(gateway)
    if recorder:
        switches.stop(recorder)
    logger.info("stopped", clients=len(gateway.clients))
    written = threading.Event()
    output.mailbox.post(written.set)
    written.wait(FLUSHED)
    return 0


def read_again(gateway, given, logger):
    """What can't be used leaves all as it was; addresses of list and platform are taken over."""
    try:
        new = configuration.read(os.environ)
    except InvalidConfiguration as bad:
        return logger.error("configuration_unusable", what=str(bad))
    gateway.move(new)
    logger.info("configuration", discovery=log.name(new.discovery), platform=log.name(new.platform))
    if new.fixed != given.fixed:
        logger.warning("configuration_kept", until="restart", what=", ".join(configuration.FIXED_KEYS))


def stop(gateway):
    """Goes on as before while new connections may still come; then answers all that was taken."""
    gateway.ready = False
    time.sleep(COMING)
    gateway.drain()
    longest = max(method.timeout for method in gateway.settings.methods) / SECOND
    until = time.monotonic() + longest + SPARE
    while (gateway.clients or not gateway.listener.ended) and time.monotonic() < until:
        time.sleep(0.01)
