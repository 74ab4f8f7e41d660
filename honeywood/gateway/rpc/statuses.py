"""HTTP statuses of failed operations, by the type of the exception."""

from __future__ import annotations

from honeywood.gateway import errors

INTERNAL_ERROR = 500

# The first entry whose type matches an exception determines its status.
STATUSES: tuple[tuple[type[errors.GatewayError], int], ...] = (
    (errors.InvalidInput, 400),
    (errors.NotFound, 404),
    (errors.VersionConflict, 412),
    (errors.PayloadTooLarge, 413),
    (errors.Unavailable, 503),
)


def status_of(error: errors.GatewayError) -> int:
    """Return the response status for `error`; a refusal by another process keeps its original status."""
    if isinstance(error, errors.CallRefused):
        return error.status
    for error_type, status in STATUSES:
        if isinstance(error, error_type):
            return status
    return INTERNAL_ERROR
