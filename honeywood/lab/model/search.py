"""Breadth-first search through the states of a model: the first violation found has a shortest trace."""

from __future__ import annotations

import random
from collections.abc import Hashable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import Generic, NamedTuple, Protocol, TypeVar

S = TypeVar("S", bound=Hashable)

DEFAULT_MAX_STATES = 10_000_000


class Step(NamedTuple, Generic[S]):
    """A transition to `state`; `label` describes it and is unique among the steps from the same state."""

    label: str
    state: S


class Model(Protocol[S]):
    """A model that can be searched."""

    start: S

    def steps(self, state: S) -> Iterator[Step[S]]:
        """Yield each possible next step, in a fixed order."""

    def violation(self, state: S) -> str:
        """Return the invariant that the state violates; empty if it violates none."""


@dataclass(frozen=True, slots=True)
class SearchResult:
    """The number of distinct states found, and the greatest number of steps from the start.

    `exhaustive` is true if all reachable states were visited. `violation` is the violated invariant, if any,
    and `trace` the labels of the steps that lead to the violation.
    """

    states: int
    depth: int
    exhaustive: bool
    violation: str = ""
    trace: tuple[str, ...] = ()


class WalkResult(NamedTuple):
    """The number of steps of a random walk, the violated invariant, if any, and the labels of the steps."""

    steps: int
    violation: str
    trace: tuple[str, ...]


class _Frontier(Generic[S]):
    """The visited states, each with the step that first led to it, and the states at the current depth."""

    def __init__(self, start: S, max_states: int) -> None:
        self.predecessors: dict[S, tuple[S, str] | None] = {start: None}
        self.states = [start]
        self._next: list[S] = []
        self._max_states = max_states

    def add_successors(self, state: S, steps: Iterable[Step[S]]) -> bool:
        """Add the states that were not visited before; return False if there would be too many."""
        for label, successor in steps:
            if successor in self.predecessors:
                continue
            if len(self.predecessors) >= self._max_states:
                return False
            self.predecessors[successor] = state, label
            self._next.append(successor)
        return True

    def advance(self) -> None:
        """Continue with the states that were added."""
        self.states, self._next = self._next, []

    def trace(self, state: S) -> tuple[str, ...]:
        """Return the labels of the steps from the start to a visited state."""
        labels = []
        while (predecessor := self.predecessors[state]) is not None:
            state, label = predecessor
            labels.append(label)
        return tuple(reversed(labels))


def explore(model: Model[S], max_depth: int, max_states: int = DEFAULT_MAX_STATES) -> SearchResult:
    """Search until an invariant is violated or the maximum depth or number of states is reached."""
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
    """Return the state that the labelled steps lead to from the start.

    Raises KeyError if one of the steps isn't possible.
    """
    state = model.start
    for label in labels:
        successors = {step.label: step.state for step in model.steps(state)}
        state = successors[label]
    return state
