"""The load that an endpoint reports in its responses (X-Load)."""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from honeywood.gateway.routing.endpoint import Endpoint

LOAD_HEADER = b"x-load"


def record_load_report(now: float, endpoint: Endpoint, report: bytes | None) -> None:
    """Records the report `running,queued,slots` at the endpoint; an invalid report is ignored.

    `running` includes the request whose response carries the report. That request has ended, so it is
    subtracted.
    """
    if report is None:
        return
    try:
        running, queued, slots = (int(number) for number in report.split(b","))
    except ValueError:
        return
    endpoint.slots = max(1, slots)
    endpoint.record_load(now, running - 1 if running else 0, queued)
