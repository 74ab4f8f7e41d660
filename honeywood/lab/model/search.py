"""Breadth-first search through the states of a model, so that the first violation has the shortest trace."""

from __future__ import annotations

import random
from collections.abc import Hashable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import Generic, NamedTuple, Protocol, TypeVar

S = TypeVar("S", bound=Hashable)

DEFAULT_MAX_STATES = 10_000_000


class Step(NamedTuple, Generic[S]):
    """A transition: what happens, unique among the steps of one state, and the state it leads to."""

    label: str
    state: S


class Model(Protocol[S]):
    """What can be searched."""

    start: S

    def steps(self, state: S) -> Iterator[Step[S]]:
        """Return each step that may come next, in a fixed order."""

    def violation(self, state: S) -> str:
        """Return the invariant that the state violates; empty where it violates none."""


@dataclass(frozen=True, slots=True)
class SearchResult:
    """How many distinct states were found and how many steps deep.

    `exhaustive` is true where no state lies beyond. `violation` names the violated invariant, if any, and
    `trace` the steps that lead there.
    """

    states: int
    depth: int
    exhaustive: bool
    violation: str = ""
    trace: tuple[str, ...] = ()


class WalkResult(NamedTuple):
    """How many steps a random walk took, the invariant that it violated, if any, and the steps' labels."""

    steps: int
    violation: str
    trace: tuple[str, ...]


class _Frontier(Generic[S]):
    """The visited states, each with the step that first led to it, and those of the greatest depth."""

    def __init__(self, start: S, max_states: int) -> None:
        self.predecessors: dict[S, tuple[S, str] | None] = {start: None}
        self.states = [start]
        self._next: list[S] = []
        self._max_states = max_states

    def add_successors(self, state: S, steps: Iterable[Step[S]]) -> bool:
        """Add the states not visited before; return False once there is no room for another."""
        for label, successor in steps:
            if successor in self.predecessors:
                continue
            if len(self.predecessors) >= self._max_states:
                return False
            self.predecessors[successor] = state, label
            self._next.append(successor)
        return True

    def advance(self) -> None:
        """Go on to the states that were added."""
        self.states, self._next = self._next, []

    def trace(self, state: S) -> tuple[str, ...]:
        """Return the labels of the steps from the start to a visited state."""
        labels = []
        while (predecessor := self.predecessors[state]) is not None:
            state, label = predecessor
            labels.append(label)
        return tuple(reversed(labels))


def explore(model: Model[S], max_depth: int, max_states: int = DEFAULT_MAX_STATES) -> SearchResult:
    """Search up to a depth or a number of states, or until an invariant is violated."""
    frontier = _Frontier(model.start, max_states)
    visited = frontier.predecessors
    for depth in range(max_depth + 1):
        for state in frontier.states:
            violation = model.violation(state)
            if violation:
                return SearchResult(len(visited), depth, False, violation, frontier.trace(state))
            if depth < max_depth and not frontier.add_successors(state, model.steps(state)):
                return SearchResult(len(visited), depth, False)
        frontier.advance()
        if not frontier.states:
            return SearchResult(len(visited), depth, depth < max_depth)
    return SearchResult(len(visited), max_depth, False)


def random_walk(model: Model[S], random: random.Random, max_steps: int) -> WalkResult:
    """Follow one random path through a model that is too large for a complete search."""
    state = model.start
    trace: list[str] = []
    for taken in range(max_steps):
        violation = model.violation(state)
        if violation:
            return WalkResult(taken, violation, tuple(trace))
        steps = list(model.steps(state))
        if not steps:
            return WalkResult(taken, "", tuple(trace))
        label, state = random.choice(steps)
        trace.append(label)
    return WalkResult(max_steps, model.violation(state), tuple(trace))


def replay(model: Model[S], labels: Sequence[str]) -> S:
    """Return the state that the named steps lead to from the start; KeyError where one isn't possible."""
    state = model.start
    for label in labels:
        successors = {step.label: step.state for step in model.steps(state)}
        state = successors[label]
    return state
