"""Why a request may not be sent to an endpoint."""

from enum import StrEnum


class RejectionReason(StrEnum):
    """What prevents the attempt. The values appear in X-Gateway, in logs and in counters."""

    FINISHED = "done"
    CLIENT_GONE = "left"
    ENDPOINT_STATE = "state"
    UNREACHABLE = "out of reach"
    DEADLINE = "deadline"
    MAY_HAVE_RUN = "may have run"
    FAILED_THERE = "failed there"
    MAX_ATTEMPTS = "tries"
    RETRY_BUDGET = "budget"
    MAX_CONNECTIONS = "connections"
    ROLLOUT = "stage"
