"""Constants that several decision modules share."""

from honeywood.balancer.model import SECOND

TIMER_PERIOD = SECOND // 10  # interval between calls of on_timer
OVERDUE_SHARE = 0.4  # share of its latency target after which an attempt in flight is overdue
RATE_WINDOW = 2 * SECOND  # window over which the rate of answers is measured
# A balancer uses only as many servers as it sends to again within this time.
RETURN_TIME = 5 * SECOND
# A server with attempts in flight that has not answered any for this long is unresponsive.
UNRESPONSIVE_AFTER = 9 * SECOND // 10
# Results of younger servers are not used as evidence. A release step is also observed for at least this long
# before a vote to proceed, since early samples are small.
MIN_SERVER_AGE = 3 * SECOND
