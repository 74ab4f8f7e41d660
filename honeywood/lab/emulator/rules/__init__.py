"""What must hold in every day, in our words, watched while it is played. Pure: all times are told.

once      a request that may not be repeated runs once at most
promise   what was answered 429, 503, 408 or 421 has not run and never does
own       a success carries the answer to the request that it answers
drain     nothing is passed to a machine drain_s after its leaving was acknowledged
left      apply_s after a machine's end is acknowledged no proxy in touch takes it for ready
apply     apply_s after a version is acknowledged no proxy in touch goes by an older one
routes    nor has it no route for a request on a route of that version
back      within one incarnation no proxy goes back to an older version
ready     a proxy in touch is ready for seven eighths of that time
budget    further arrivals at a service stay within the ratio and the slack
gone      half a second after its client has left no machine works on a repeatable request any more, where the
          proxy was in touch
exposure  a bad version gets its share and no more, and nothing rollback_s after its 50th bad answer
one end   a rollout is told one end
kept      what was acknowledged is there in the end
served    at least half of what is owed is earned, whatever goes wrong
number    under one number one content is confirmed, as long as no higher number has been sent
refused   a proper order is never answered with a 4xx, first sent or again, whoever answers; of two contents
          under one number the one that is not in force may be answered 412
acks      an order is acknowledged ack_s after it was sent, or after the core settled and all links were sound
reads     a read that begins after an acknowledgement, or after another read ended, shows nothing older, at
          any controller: of configurations the number, of rollouts the order and its end
invariant no proxy counts a violation of its own invariants
raised    no handler raises what it should not

Start reading at monitor.py.
"""

from honeywood.lab.emulator.rules.core import Breach
from honeywood.lab.emulator.rules.monitor import Monitor
from honeywood.lab.emulator.rules.orders import ConfigurationOrder, RolloutOrder
from honeywood.lab.emulator.rules.requests import PROMISES

__all__ = ["Breach", "ConfigurationOrder", "Monitor", "PROMISES", "RolloutOrder"]
