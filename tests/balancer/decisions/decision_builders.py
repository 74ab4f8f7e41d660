"""Builders and stand-ins for the tests of single decision modules."""

from honeywood.balancer.decisions.server_groups import ServerGroups
from honeywood.balancer.model import (
    UNKNOWN_START,
    Attempt,
    Method,
    Rpc,
    Server,
    ServerEntry,
    ServerStatus,
)
from honeywood.balancer.settings import Settings


class RecordingHost:
    """A host that records the calls of the decisions."""

    observer = None

    def __init__(self):
        self.sent, self.votes, self.log_lines, self.list_requests = [], [], [], 0

    def send(self, attempt, until):
        self.sent.append(attempt)

    def vote(self, build, step, vote):
        self.votes.append((build, step, vote))

    def watch_servers(self):
        self.list_requests += 1

    def log(self, text):
        self.log_lines.append(text)


class StubRelease:
    """A release that puts only the builds of `on_trial` on trial."""

    build, state, rejected_builds = None, None, ()

    def __init__(self, **on_trial):
        self.on_trial = on_trial

    def trial_of(self, build):
        return self.on_trial.get(f"build_{build}")


def method(**fields):
    return Method(**{"latency_target": 10_000, "timeout": 40_000, "dedup_window": 50_000, **fields})


def settings(**fields):
    return Settings(**{"methods": [method()], "max_attempts": 3, "clock_resolution": 50, **fields})


def server(**fields):
    built = Server(**{"status": ServerStatus.READY, "build": 1, **fields})
    built.host = built
    return built


def rpc(of_method=None, **fields):
    return Rpc(**{"method": of_method or method(), "deadline": 40_000, "arrived_at": 0, **fields})


def attempt(of_rpc=None, at_server=None, result=None, latency=100, sent_at=0):
    of_rpc, at_server = of_rpc or rpc(), at_server or server()
    built = Attempt(
        rpc=of_rpc, server=at_server, number=len(of_rpc.attempts), build=at_server.build, sent_at=sent_at
    )
    built.result, built.latency = result, latency
    of_rpc.attempts.append(built)
    return built


def groups(*servers, release=None):
    built = ServerGroups()
    built.listed = list(servers)
    built.regroup(release or StubRelease())
    return built


def entry(listed, build=1, status=ServerStatus.READY, started_at=UNKNOWN_START):
    return ServerEntry(listed, build, 0, 0, 1.0, status, started_at)
