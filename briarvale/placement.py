"""Placement of models on the engines of a pool as demand shifts.

An engine is moved to another model only if, for as long as the shift is expected to last, it would
serve more additional tokens there than are lost while it drains and loads.
"""

from collections import Counter, deque
from collections.abc import Mapping, Sequence
from itertools import permutations
from typing import NamedTuple

MAX_OBSERVED_SHIFTS = 32
UNDONE_MOVE_FRACTION = 0.5

__all__ = ["Move", "MoveCosts", "Placement", "PlacementPlanner", "net_gain"]


class MoveCosts(NamedTuple):
    """Costs of a move, during which the engine drains and loads and serves nothing."""

    engine_tokens_per_s: float
    drain_s: float
    load_s: Mapping[str, float]


class Placement(NamedTuple):
    """The model of each engine, and the demand for each model, smoothed by the caller.

    Attributes:
        weight_store_wait_s: How long a load would wait for the weight store before it starts.
    """

    engines: Mapping[str, str]
    demand_tokens_per_s: Mapping[str, float]
    weight_store_wait_s: float = 0.0


class Move(NamedTuple):
    """One engine that should load another model."""

    engine: str
    source: str
    target: str
    net_gain_tokens: float


_ModelPair = tuple[str, str]


class PlacementPlanner:
    """Proposes at most one move at a time, from the observed length of demand shifts.

    Args:
        costs: The costs of a move.
    """

    def __init__(self, costs: MoveCosts) -> None:
        self._costs = costs
        self._shift_began_s: dict[_ModelPair, float] = {}
        self._moved_shifts_began_s: dict[_ModelPair, list[float]] = {}
        self._shift_lengths_s: deque[float] = deque(maxlen=MAX_OBSERVED_SHIFTS)

    def plan(self, placement: Placement, now_s: float) -> Move | None:
        """Returns the move with the greatest net gain, or none if no move pays off."""
        counts = Counter(placement.engines.values())
        best: Move | None = None
        for source, target in permutations(placement.demand_tokens_per_s, 2):
            gain, loss = self._rates(placement, counts, source, target)
            self._track_shift(source, target, gain - loss > 0, now_s)
            if gain - loss <= 0:
                continue
            outage_s = self._outage_s(placement, target)
            net = self._expected_net(
                gain, loss, now_s - self._shift_began_s[source, target], outage_s
            )
            if net > 0 and (best is None or net > best.net_gain_tokens):
                engine = min(e for e, model in placement.engines.items() if model == source)
                best = Move(engine, source, target, net)
        return best

    def record_started(self, move: Move, now_s: float) -> None:
        """Records that a proposed move was started, to observe how long its shift lasts."""
        pair = (move.source, move.target)
        began_s = self._shift_began_s.get(pair, now_s)
        self._moved_shifts_began_s.setdefault(pair, []).append(began_s)

    def _rates(
        self, placement: Placement, counts: Mapping[str, int], source: str, target: str
    ) -> tuple[float, float]:
        """Returns the tokens a second that a move gains at the target and loses at the source."""
        demand, capacity = placement.demand_tokens_per_s, self._costs.engine_tokens_per_s
        if counts.get(source, 0) == 0:
            return 0.0, 0.0
        at_target, at_source = counts.get(target, 0), counts[source]
        gain = _served(demand[target], at_target + 1, capacity)
        gain -= _served(demand[target], at_target, capacity)
        loss = _served(demand[source], at_source, capacity)
        loss -= _served(demand[source], at_source - 1, capacity)
        return gain, loss

    def _outage_s(self, placement: Placement, target: str) -> float:
        load_s = self._costs.load_s[target] + placement.weight_store_wait_s
        return self._costs.drain_s + load_s

    def _track_shift(self, source: str, target: str, is_worthwhile: bool, now_s: float) -> None:
        """Records when a shift begins, and its length when it ends.

        A shift lasts while a move from the source to the target is worthwhile. Once such a move was
        made, the shift ends when the opposite move becomes worthwhile.
        """
        if not is_worthwhile:
            began_s = self._shift_began_s.pop((source, target), None)
            if began_s is not None and (source, target) not in self._moved_shifts_began_s:
                self._shift_lengths_s.append(now_s - began_s)
            return
        self._shift_began_s.setdefault((source, target), now_s)
        for began_s in self._moved_shifts_began_s.pop((target, source), []):
            self._shift_lengths_s.append(now_s - began_s)

    def _expected_net(self, gain: float, loss: float, age_s: float, outage_s: float) -> float:
        """Returns the mean net gain of moving now, or 0 if waiting has a higher expected gain.

        Each earlier shift that lasted longer than the current one has so far gives an estimate of
        the remaining time. The current age is one more estimate: without others, a move waits
        until the shift has lasted as long as the move takes to pay off, which bounds the loss to
        about twice that of a planner that knows the length beforehand. Waiting loses the gain
        meanwhile, but avoids moves for shifts that end early.
        """
        remaining_s = [lasted_s - age_s for lasted_s in self._shift_lengths_s if lasted_s > age_s]
        remaining_s.append(age_s)
        net_now = _mean_net(gain, loss, remaining_s, outage_s, wait_s=0.0)
        net_later = max(
            _mean_net(gain, loss, remaining_s, outage_s, wait_s=wait_s) for wait_s in remaining_s
        )
        return net_now if net_now >= net_later else 0.0


def _mean_net(
    gain: float, loss: float, remaining_s: Sequence[float], outage_s: float, *, wait_s: float
) -> float:
    """Returns the mean net gain of a move after a wait; 0 for a shift that ends during the wait.

    Args:
        remaining_s: Estimates of how long the shift will last from now.
    """
    net_gains = [
        net_gain(gain, loss, shift_remaining_s=left_s - wait_s, outage_s=outage_s)
        for left_s in remaining_s
        if left_s > wait_s
    ]
    return sum(net_gains) / len(remaining_s)


def net_gain(gain: float, loss: float, *, shift_remaining_s: float, outage_s: float) -> float:
    """Returns the tokens that a move gains over the rest of a shift, less those that it loses.

    Args:
        gain: Tokens a second gained at the target.
        loss: Tokens a second lost at the source.
        shift_remaining_s: How long the shift is expected to last from now.
        outage_s: How long the engine serves nothing during the move. `UNDONE_MOVE_FRACTION` of all
            moves are undone later, which takes the same time again.
    """
    gained = gain * max(0.0, shift_remaining_s - outage_s)
    lost = loss * max(shift_remaining_s, outage_s)
    return gained - lost - UNDONE_MOVE_FRACTION * gain * outage_s


def _served(demand_tokens_per_s: float, engines: int, capacity_tokens_per_s: float) -> float:
    return min(demand_tokens_per_s, engines * capacity_tokens_per_s)
