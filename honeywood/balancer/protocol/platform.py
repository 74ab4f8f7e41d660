"""The platform's protocol: lines of words separated by spaces, ended by CR LF.

The balancer sends `NOTIFY` and `BALLOT image ring vote`. The platform answers each in order: `OK`, for a
ballot followed by the state of the release, or `ERR reason`. In between it sends notifications:
`* stage ...`, `* tally ...` and `* flag ...`. No other module uses the words of this protocol.
"""

from __future__ import annotations

from typing import NamedTuple

from honeywood.balancer.model import AttemptResult, ReleaseState, ReleaseUpdate, Vote

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence

    from honeywood.balancer.model import Duration
    from honeywood.balancer.sections import Section
    from honeywood.balancer.transport.buffer import Buffer

MAX_LINE = 8 * 1024  # bytes
MAX_NUMBER = 10**12
SUBSCRIBE = b"NOTIFY\r\n"
VOTES = {Vote.NONE: "blank", Vote.PROCEED: "go", Vote.HOLD: "stay", Vote.ROLL_BACK: "stop"}
STATES = {
    "canary": ReleaseState.ON_TRIAL,
    "reverting": ReleaseState.ROLLING_BACK,
    "stable": ReleaseState.RELEASED,
    "reverted": ReleaseState.WITHDRAWN,
}
REFUSALS = {
    "BUSY": AttemptResult.FULL,
    "STALE": AttemptResult.EXPIRED,
    "FAILED": AttemptResult.ERROR,
    "SYNTAX": AttemptResult.EXPIRED,
}
# Names of the results of votes in logs and counters.
RESULTS = {
    AttemptResult.OK: "counts",
    AttemptResult.FULL: "busy",
    AttemptResult.EXPIRED: "stale",
    AttemptResult.ERROR: "failed",
    AttemptResult.TIMEOUT: "no_answer",
}


class InvalidLine(Exception):  # noqa: N818 - named for what went wrong
    """A line is malformed."""


class Reply(NamedTuple):
    """The answer to a call; `update` is the state of the release, sent for an accepted ballot."""

    result: AttemptResult
    update: ReleaseUpdate | None


class Counts(NamedTuple):
    """The platform's counts of RPCs of a build and a method; `method` is its name."""

    build: int
    method: str
    failed: int
    ended: int
    mean_latency: Duration
    age: Duration


class IncorrectAnswer(NamedTuple):
    """A server whose answer to an RPC of this method was wrong."""

    server: str
    method: str


def ballot(build: int, step: int, vote: Vote) -> bytes:
    """Serialize a vote on a step of a release."""
    return f"BALLOT {build} {step} {VOTES[vote]}\r\n".encode()


def read_line(buffer: Buffer) -> list[str] | None:
    """Take the next line from the buffer as fields; None while it is incomplete. Raises InvalidLine."""
    end = buffer.find(b"\r\n")
    if end > MAX_LINE or (end < 0 and len(buffer) > MAX_LINE):
        raise InvalidLine("line too long")
    if end < 0:
        return None
    try:
        return buffer.take(end + 2)[:-2].decode("ascii").split(" ")
    except UnicodeDecodeError:
        raise InvalidLine("not text") from None


def parse_update(fields: Sequence[str], steps: int) -> ReleaseUpdate:
    """Parse `image ring progress ceiling lag_ms` of a release with `steps` steps. Raises InvalidLine."""
    try:
        image, ring, progress, ceiling, lag = fields
        age = _tenths_of_ms(lag)
        build, step = _integer(image), _integer(ring, steps - 1)
        return ReleaseUpdate(build, step, _number(ceiling), STATES[progress], age)
    except (ValueError, KeyError, TypeError):
        raise InvalidLine(f"state {fields}") from None


def read_update(section: Section, steps: int) -> ReleaseUpdate:
    """Read the state of a release from the configuration. Raises InvalidConfiguration."""
    step = section.integer("ring", 0)
    if step >= steps:
        raise section.invalid("ring", "a step that settings.family_info.waves has")
    return ReleaseUpdate(
        build=section.integer("image"),
        step=step,
        cap=section.number("ceiling", 1.0, 0, 1),
        state=section.choice("progress", "stable", STATES),
        age=int(section.number("lag_ms", 0) * 10),
    )


def parse_reply(fields: Sequence[str], steps: int, bare: bool = False) -> Reply:
    """Parse the answer to a call; `bare` if OK has no fields, as for a subscription. Raises InvalidLine."""
    if fields[0] == "OK" and bare == (len(fields) == 1):
        return Reply(AttemptResult.OK, None if bare else parse_update(fields[1:], steps))
    if fields[0] == "ERR" and len(fields) == 2 and fields[1] in REFUSALS:
        return Reply(REFUSALS[fields[1]], None)
    raise InvalidLine(f"answer {fields}")


def parse_counts(fields: Sequence[str]) -> Counts:
    """Parse `image type n bad latency_ms lag_ms`. Raises InvalidLine."""
    try:
        image, name, count, bad, latency, lag = fields
        ended = _integer(count)
        mean, age = _tenths_of_ms(latency), _tenths_of_ms(lag)
        return Counts(_integer(image), name, _integer(bad, ended), ended, mean, age)
    except ValueError:
        raise InvalidLine(f"tally {fields}") from None


def parse_incorrect_answer(fields: Sequence[str]) -> IncorrectAnswer:
    """Parse `host type lag_ms`. Raises InvalidLine."""
    if len(fields) != 3:
        raise InvalidLine(f"flag {fields}")
    return IncorrectAnswer(fields[0], fields[1])


def _number(field: str) -> float:
    value = float(field)
    if not 0 <= value <= MAX_NUMBER:
        raise ValueError(field)
    return value


def _tenths_of_ms(field: str) -> Duration:
    """Convert milliseconds to tenths of a millisecond."""
    return int(_number(field) * 10)


def _integer(field: str, maximum: int = MAX_NUMBER) -> int:
    if not field.isdecimal() or int(field) > maximum:
        raise ValueError(field)
    return int(field)
