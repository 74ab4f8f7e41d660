"""The platform's lines, in words separated by spaces, and what they mean to us."""

from honeywood.balancer.interface import (
    ERROR,
    FULL,
    GO_BACK,
    GO_ON,
    GOING_BACK,
    HOLD,
    MOOT,
    NO_VOTE,
    OK,
    ON_TRIAL,
    RELEASED,
    TIMEOUT,
    WITHDRAWN,
)

MOST_LINE, MOST_FIGURE = 8 * 1024, 10**12
SUBSCRIBE = b"NOTIFY\r\n"
VERDICTS = {NO_VOTE: "blank", GO_ON: "go", HOLD: "stay", GO_BACK: "stop"}
STANDINGS = {"canary": ON_TRIAL, "reverting": GOING_BACK, "stable": RELEASED, "reverted": WITHDRAWN}
REFUSALS = {"BUSY": FULL, "STALE": MOOT, "FAILED": ERROR, "SYNTAX": MOOT}
RESULTS = {OK: "counts", FULL: "busy", MOOT: "stale", ERROR: "failed", TIMEOUT: "no_answer"}


class BadLine(Exception):
    """A line that can't be read."""


def ballot(build, step, verdict):
    return f"BALLOT {build} {step} {VERDICTS[verdict]}\r\n".encode()


def line(buffer):
    """The next line's words, or None while it is not whole."""
    end = buffer.find(b"\r\n")
    if end > MOST_LINE or (end < 0 and len(buffer) > MOST_LINE):
        raise BadLine("line too long")
    if end < 0:
        return None
    try:
        return buffer.take(end + 2)[:-2].decode("ascii").split(" ")
    except UnicodeDecodeError:
        raise BadLine("not text") from None


def figure(word):
    value = float(word)
    if not 0 <= value <= MOST_FIGURE:
        raise ValueError(word)
    return value


def whole(word, most=MOST_FIGURE):
    if not word.isdecimal() or int(word) > most:
        raise ValueError(word)
    return int(word)


def state(words, steps):
    """(build, step, cap, standing, age) from `image ring progress ceiling lag_ms`, with so many steps."""
    try:
        image, ring, progress, ceiling, lag = words
        age = int(figure(lag) * 10)
        return whole(image), whole(ring, steps - 1), figure(ceiling), STANDINGS[progress], age
    except (ValueError, KeyError, TypeError):
        raise BadLine(f"state {words}") from None


def news(part, steps):
    """The same out of the configuration, where it is an object."""
    step = part.whole("ring", 0)
    if step >= steps:
        raise part.bad("ring", "a step that settings.family_info.waves has")
    return (
        part.whole("image"),
        step,
        part.number("ceiling", 1.0, 0, 1),
        part.choice("progress", "stable", STANDINGS),
        int(part.number("lag_ms", 0) * 10),
    )


def reply(words, steps, bare=False):
    """(result, state or None) of the answer to a call; only a subscription is answered by a bare OK."""
    if words[0] == "OK" and bare == (len(words) == 1):
        return OK, None if bare else state(words[1:], steps)
    if words[0] == "ERR" and len(words) == 2 and words[1] in REFUSALS:
        return REFUSALS[words[1]], None
    raise BadLine(f"answer {words}")


def tally(words):
    """(build, method's name, failed, ended, mean, age) from `image type n bad latency_ms lag_ms`."""
    try:
        image, name, count, bad, latency, lag = words
        ended = whole(count)
        mean, age = int(figure(latency) * 10), int(figure(lag) * 10)
        return whole(image), name, whole(bad, ended), ended, mean, age
    except ValueError:
        raise BadLine(f"tally {words}") from None


def flag(words):
    """(server's id, method's name) from `host type lag_ms`."""
    if len(words) != 3:
        raise BadLine(f"flag {words}")
    return words[0], words[1]
