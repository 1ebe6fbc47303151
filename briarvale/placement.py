"""Placement: which engine of a pool serves which model, as demand shifts.

An engine moves to another model only if what it would serve there over the time that the shift is
expected to last outweighs what is lost while it drains and loads.
"""

from collections import Counter, deque
from collections.abc import Mapping, Sequence
from itertools import permutations
from typing import NamedTuple

SHIFTS_KEPT = 32
RETURNING_PART = 0.5

__all__ = ["Move", "MoveCosts", "Placement", "PlacementPlanner", "net_gain"]


class MoveCosts(NamedTuple):
    """What a move takes: the engine serves nothing while it drains and loads."""

    engine_tokens_per_s: float
    drain_s: float
    load_s: Mapping[str, float]


class Placement(NamedTuple):
    """Engines by the model that they have, and demand by model as smoothed by the caller."""

    engines: Mapping[str, str]
    demand_tokens_per_s: Mapping[str, float]
    weight_store_wait_s: float = 0.0


class Move(NamedTuple):
    """One engine that should load another model."""

    engine: str
    source: str
    target: str
    net_gain_tokens: float


_Pair = tuple[str, str]


class PlacementPlanner:
    """Proposes at most one move at a time and learns how long shifts of demand last.

    Args:
        costs: What a move takes.
    """

    def __init__(self, costs: MoveCosts) -> None:
        self._costs = costs
        self._since_s: dict[_Pair, float] = {}
        self._moved_since_s: dict[_Pair, list[float]] = {}
        self._lasted_s: deque[float] = deque(maxlen=SHIFTS_KEPT)

    def plan(self, placement: Placement, now_s: float) -> Move | None:
        """Returns the move with the greatest gain, or none that is worth its cost."""
        counts = Counter(placement.engines.values())
        best: Move | None = None
        for source, target in permutations(placement.demand_tokens_per_s, 2):
            gain, loss = self._rates(placement, counts, source, target)
            self._follow_shift(source, target, gain - loss > 0, now_s)
            if gain - loss <= 0:
                continue
            out_s = self._out_s(placement, target)
            net = self._expected_net(gain, loss, now_s - self._since_s[source, target], out_s)
            if net > 0 and (best is None or net > best.net_gain_tokens):
                engine = min(e for e, model in placement.engines.items() if model == source)
                best = Move(engine, source, target, net)
        return best

    def record_started(self, move: Move, now_s: float) -> None:
        """Notes that a proposed move was begun, to learn how long its shift lasts."""
        pair = (move.source, move.target)
        since_s = self._since_s.get(pair, now_s)
        self._moved_since_s.setdefault(pair, []).append(since_s)

    def _rates(
        self, placement: Placement, counts: Mapping[str, int], source: str, target: str
    ) -> tuple[float, float]:
        """Returns tokens a second gained at the target and lost at the source by one engine."""
        demand, capacity = placement.demand_tokens_per_s, self._costs.engine_tokens_per_s
        if counts.get(source, 0) == 0:
            return 0.0, 0.0
        at_target, at_source = counts.get(target, 0), counts[source]
        gain = _served(demand[target], at_target + 1, capacity)
        gain -= _served(demand[target], at_target, capacity)
        loss = _served(demand[source], at_source, capacity)
        loss -= _served(demand[source], at_source - 1, capacity)
        return gain, loss

    def _out_s(self, placement: Placement, target: str) -> float:
        load_s = self._costs.load_s[target] + placement.weight_store_wait_s
        return self._costs.drain_s + load_s

    def _follow_shift(self, source: str, target: str, pays: bool, now_s: float) -> None:
        """Notes when a shift begins, and learns how long it lasted when it ends.

        One that was followed by a move ends when the way back would pay.
        """
        if not pays:
            since_s = self._since_s.pop((source, target), None)
            if since_s is not None and (source, target) not in self._moved_since_s:
                self._lasted_s.append(now_s - since_s)
            return
        self._since_s.setdefault((source, target), now_s)
        for since_s in self._moved_since_s.pop((target, source), []):
            self._lasted_s.append(now_s - since_s)

    def _expected_net(self, gain: float, loss: float, age_s: float, out_s: float) -> float:
        """Returns the mean net gain of moving now, or 0 if waiting promises more.

        What is left of this shift is guessed from the shifts that lasted longer than it has so far.
        Its age counts as one more guess: with no other, a move waits until the shift has lasted as
        long as a move takes to pay, which bounds the loss to about twice that of knowing its length
        beforehand. Waiting loses the gain meanwhile and spares the moves for shifts that end.
        """
        left_s = [lasted_s - age_s for lasted_s in self._lasted_s if lasted_s > age_s]
        left_s.append(age_s)
        now = _mean_net(gain, loss, left_s, out_s, wait_s=0.0)
        later = max(_mean_net(gain, loss, left_s, out_s, wait_s=wait_s) for wait_s in left_s)
        return now if now >= later else 0.0


def _mean_net(
    gain: float, loss: float, left_s: Sequence[float], out_s: float, *, wait_s: float
) -> float:
    """Returns the mean net gain of a move after the wait, made only if the shift still lasts."""
    nets = [
        net_gain(gain, loss, stay_s=each_s - wait_s, out_s=out_s)
        for each_s in left_s
        if each_s > wait_s
    ]
    return sum(nets) / len(left_s)


def net_gain(gain: float, loss: float, *, stay_s: float, out_s: float) -> float:
    """Returns the tokens that a move brings over its stay, less what it costs once.

    Args:
        gain: Tokens a second gained at the target.
        loss: Tokens a second lost at the source.
        stay_s: How long the shift is expected to last.
        out_s: How long the engine serves nothing while it moves; part of the moves are undone, and
            take as long again.
    """
    gained = gain * max(0.0, stay_s - out_s)
    lost = loss * max(stay_s, out_s)
    return gained - lost - RETURNING_PART * gain * out_s


def _served(demand_tokens_per_s: float, engines: int, capacity_tokens_per_s: float) -> float:
    return min(demand_tokens_per_s, engines * capacity_tokens_per_s)
