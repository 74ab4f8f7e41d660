"""The HTTP statuses with which operations end, by the type of the exception that ended them."""

from __future__ import annotations

from honeywood.gateway import errors

INTERNAL_ERROR = 500

# The first type that an exception is an instance of decides.
STATUSES: tuple[tuple[type[errors.GatewayError], int], ...] = (
    (errors.InvalidInput, 400),
    (errors.NotFound, 404),
    (errors.VersionConflict, 412),
    (errors.PayloadTooLarge, 413),
    (errors.Unavailable, 503),
)


def status_of(error: errors.GatewayError) -> int:
    """Return the status that a caller is answered with; a refusal by another process keeps its status."""
    if isinstance(error, errors.CallRefused):
        return error.status
    for kind, status in STATUSES:
        if isinstance(error, kind):
            return status
    return INTERNAL_ERROR
