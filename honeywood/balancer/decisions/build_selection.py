"""Which build an RPC goes to first."""

from honeywood.balancer.interface import RELEASED
from honeywood.balancer.decisions.send_policy import Stage


class Trial(Stage):
    """Trial picks fill the cap as far as its servers bear those of all fronts, by chance; the rest on."""

    def take(self, now, rpc):
        new, old, judge = self.front.new, self.front.old, self.front.judge
        if judge.build in judge.bad:
            return self.below.take(now, rpc, old, new)
        if not new and judge.standing == RELEASED and len(self.front.mine) >= 0.9 * judge.places:
            return self.below.take(now, rpc, self.front.first, old)  # the others drain before lists tell it
        if new and old:
            strong, rest = (sum(self.front.gate.warmth(now, s) for s in group) for group in (new, old))
            if self.front.random.random() * (strong + rest) >= strong:
                new, old = old, new
        return self.below.take(now, rpc, new, old)

    def back(self, now, pick, load):
        self.below.back(now, pick, load)
        self.front.judge.back(pick)
