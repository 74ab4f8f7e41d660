"""The life of the program: start, a planned stop at SIGTERM, and the sudden end that a fault makes."""
import os
import signal
import sys
import time

from honeywood.program import config, log
from honeywood.routing.gateway import Gateway
from honeywood.settings import BadKey

STOPS = {signal.SIGTERM, signal.SIGINT}
COMING, LONGEST = 0.6, 10.0    # seconds: new connections may come for so long; then all taken are answered


def main():
    signal.pthread_sigmask(signal.SIG_BLOCK, STOPS)  # before any thread: only the wait below takes them
    try:
        given = config.read(os.environ)
    except BadKey as bad:
        print(f"honeywood: {bad}", file=sys.stderr)
        return 2
    logger = log.make(given.name)

    def fail(where, wrong):
        logger.error("fault", where=where, exc_info=wrong)
        sys.stdout.flush()
        os._exit(1)

    try:
        gateway = Gateway(given, logger, fail)
    except OSError as wrong:
        print(f"honeywood: listen: {wrong}", file=sys.stderr)
        return 2
    logger.info("started", listen=":".join(map(str, given.listen)))
    stopped_by = signal.sigwait(STOPS)
    logger.info("stopping", signal=signal.Signals(stopped_by).name)
    stop(gateway)
    logger.info("stopped")
    sys.stdout.flush()
    return 0


def stop(gateway):
    time.sleep(COMING)
    gateway.drain()
    until = time.monotonic() + LONGEST
    while gateway.clients and time.monotonic() < until:
        time.sleep(0.01)
