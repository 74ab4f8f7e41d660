"""The load that a machine reports in its responses (X-Load)."""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.routing.endpoint import Endpoint

LOAD_HEADER = b"x-load"


def record_load_report(now: float, endpoint: Endpoint, report: bytes | None) -> None:
    """Takes the report `running,queued,slots`; one that can't be read is ignored.

    The request whose response carries it is among those running, and has ended by now.
    """
    if report is None:
        return
    try:
        running, queued, slots = (int(number) for number in report.split(b","))
    except ValueError:
        return
    endpoint.slots = max(1, slots)
    endpoint.record_load(now, running - 1 if running else 0, queued)
