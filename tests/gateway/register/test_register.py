"""The register: what was acknowledged is never lost, a rollout has one outcome, a reader never goes back."""

from hypothesis import given, settings
from hypothesis import strategies as st
from register_histories import (
    FAULTS,
    count_broken,
    play_charts,
    play_faults,
    play_history,
    play_races,
    random_schedule,
)
from ward import each, test

from honeywood.gateway.register import acceptor, values
from honeywood.gateway.register.membership_configuration import MembershipConfiguration
from honeywood.gateway.register.membership_manager import MembershipManager
from honeywood.gateway.register.row import Row
from honeywood.gateway.register.state_update import StateUpdate


@test("a version is acknowledged once a majority holds it, and the third learns of it")
def _():
    play_charts("""
      at   | a     | b     | c
      0    | start | start | start
      1    | put 5 |       |
      1.1  | acked 5 | = 5 | = 5
    """)


@test("one controller alone acknowledges nothing, and takes part again when joined")
def _():
    play_charts("""
      at   | a      | b     | c
      0    | start  | start | start
      1    | cut bc |       |
      3    | put 5  | put 6 |
      4.5  | acked 5 not, = None | acked 6 | = 6
      5    | join   |       |
      7    | = 6    | = 6   | = 6
    """)


@test("the one that acknowledged loses its disk while the others lose power")
def _():
    # Amnesia: an empty disk that voted would make a majority with one that never heard of 5.
    play_charts(
        """
          at   | a     | b     | c
          0    | start | start | start
          1    |       | kill  |
          1.1  | put 5 |       |
          1.3  | acked 5, wipe | | kill
        """,
        """
          at   | a     | b     | c
          1.4  | start | start |
          3.5  | put 4, = None | put 4, = None |
          4.6  | acked 4 not   |       |
          5    |       |       | start
          8    | = 5   | = 5   | = 5
        """,
    )


@test("a controller whose own disk takes no writes still acknowledges what the others' disks hold")
def _():
    # Its own refusal ended the whole change by an exception, and the caller got 500.
    play_charts("""
      at   | a       | b     | c
      0    | start   | start | start
      1    | refuse  |       |
      1.1  | put 5   |       |
      1.4  | acked 5 | = 5   | = 5
    """)


@test("all are killed at once and come back with their disks, without help")
def _():
    play_charts(
        """
          at   | a     | b     | c
          0    | start | start | start
          1    | put 5 |       |
          1.1  | acked 5, kill | kill | kill
        """,
        """
          at   | a     | b     | c
          2    | start | start | start
          4    | = 5   | = 5   | = 5
        """,
    )


@test("a lower version is acknowledged and changes nothing; the same one twice keeps the first")
def _():
    play_charts("""
      at   | a       | b     | c
      0    | start   | start | start
      1    | put 9   |       |
      1.2  |         | put 4 |
      1.4  | acked 4 | = 9   | = 9
    """)


@test("forty histories of kills, wipes, cuts and losses lose nothing that was acknowledged")
def _():
    assert sum(play_history(*random_schedule(seed), seed) for seed in range(40)) > 100


@test("nor do {seeds} in which every value is carried apart from its ballots, {share} of the calls lost")
def _(share=each("some", "a third"), seeds=each(20, 40), least=each(50, 10)):
    kept, values.MAX_INLINE_CHARACTERS = values.MAX_INLINE_CHARACTERS, 64
    try:
        acked = 0
        for seed in range(100, 100 + seeds):
            schedule, loss = random_schedule(seed)
            acked += play_history(schedule, loss if share == "some" else 0.33, seed)
        assert acked > least
        assert sum(count_broken(play) for play in (play_races,)) == 0
    finally:
        values.MAX_INLINE_CHARACTERS = kept


@test("nor do schedules that hypothesis looks for; what it finds is the shortest that fails")
def _():
    moment = st.tuples(st.floats(0.0, 2.0), st.sampled_from(FAULTS), st.sampled_from("abc"))

    @settings(max_examples=60, deadline=None, derandomize=True, database=None)
    @given(st.lists(moment, max_size=30), st.sampled_from((0.0, 0.1)))
    def play(schedule, loss):
        play_history(schedule, loss)

    play()


@test("changes that meet at two controllers lose nothing that was acknowledged")
def _():
    assert count_broken(play_races) == 0


async def join_without_rows(self, known):
    members = MembershipConfiguration(1, tuple(sorted(known)))
    await self._membership.enter(StateUpdate(configuration=members, incarnation=1))


def accept_any_ballot(row, ballot, value):
    return Row(ballot, ballot, value)


@test("without the guard {guard} the histories lose something")
def _(
    guard=each("against amnesia", "of promises"),
    place=each(MembershipManager, acceptor),
    name=each("_join", "accept"),
    without=each(join_without_rows, accept_any_ballot),
    play=each(play_faults, play_races),
):
    # Mutations: a wiped disk that takes part at once; a ballot accepted below the one promised. Histories
    # that can't see them would prove nothing.
    guarded = getattr(place, name)
    setattr(place, name, without)
    try:
        assert count_broken(play) > 0
    finally:
        setattr(place, name, guarded)
