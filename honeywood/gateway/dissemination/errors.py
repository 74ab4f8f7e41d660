"""Errors of dissemination, beside messages that can't be used."""

from __future__ import annotations

from honeywood.gateway.configuration.outcome import Wrong


class PollFailed(Wrong):
    """A peer gave no response to a poll, or none that can be used; another peer may."""
