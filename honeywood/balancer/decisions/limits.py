"""Figures that several of the decisions share."""

from honeywood.balancer.model import SECOND

TIMER_PERIOD = SECOND // 10  # how often decisions look around by themselves
OVERDUE_SHARE = 0.4  # part of its latency target after which an attempt in flight is overdue
RATE_WINDOW = 2 * SECOND  # answers of so long make a rate
RETURN_TIME = 5 * SECOND  # a balancer keeps to as many servers as it meets again within this
UNRESPONSIVE_AFTER = (
    9 * SECOND // 10
)  # a server that has attempts in flight and answers none for so long is silent
MIN_SERVER_AGE = 3 * SECOND  # younger servers are no evidence; also the wait where samples are small
