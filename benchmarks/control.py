"""`make bench-control`: control plane costs by fleet size, with bounds from the stated target.

`--small` runs only the smaller sizes, as CI does. `--write` stores the figures of a full run in
docs/capacity-slopes.json, from which tools/check_capacity.py computes docs/CAPACITY.md.
"""

import json
import sys
from pathlib import Path

from loguru import logger
from rich.console import Console

from .control_nodes import SIZES, SMALL_SIZES, NodeCost, measure_nodes
from .control_slopes import measure_slopes
from .verdicts import Row, print_rows

SLOPES_PATH = Path(__file__).resolve().parent.parent / "docs" / "capacity-slopes.json"
CURRENT_NODES = 6
GROWTH_NODES = 1_100
MAX_CONTROL_BYTES_PER_S = 4_000
MAX_DETECTION_S = 5.0
MAX_CONFIG_S = 5.0
MAX_GROWTH_CONFIG_S = 17.0
MAX_GROWTH_RATIO = 1.5
MAX_STORE_CALLS_PER_S = 1.0
MAX_CALLS_PER_1000_ITEMS = 20
MAX_CONTROL_CPU_MS_PER_S = 13.0


def node_rows(costs: list[NodeCost]) -> list[Row]:
    """Returns the rows for the cost of one dispatcher, by number of nodes."""
    rows = []
    for cost in costs:
        prefix = f"{cost.nodes} nodes: "
        config_bound_s = MAX_GROWTH_CONFIG_S if cost.nodes == GROWTH_NODES else MAX_CONFIG_S
        rows += [
            Row.at_most(
                prefix + "control sent by a daemon",
                cost.bytes_per_s,
                MAX_CONTROL_BYTES_PER_S,
                " B/s",
            ),
            Row(prefix + "datagrams sent by a daemon", f"{cost.datagrams_per_s:.2f} /s"),
            Row.at_most(
                prefix + "processor time of a daemon",
                cost.cpu_ms_per_s,
                MAX_CONTROL_CPU_MS_PER_S,
                " ms/s",
            ),
            Row.at_most(
                prefix + "Object API calls of a daemon",
                cost.store_calls_per_s,
                MAX_STORE_CALLS_PER_S,
                " /s",
            ),
            Row(prefix + "rumor known everywhere", f"{cost.rumor_s:.1f} s"),
            Row.at_most(prefix + "configuration in force", cost.config_s, config_bound_s, " s"),
        ]
        if cost.nodes == CURRENT_NODES:
            rows.append(
                Row.at_most(
                    prefix + "killed VM found by all", cost.detection_s, MAX_DETECTION_S, " s"
                )
            )
        else:
            rows.append(Row(prefix + "killed VM found by all", f"{cost.detection_s:.1f} s"))
    ratio = costs[-1].bytes_per_s / costs[0].bytes_per_s
    name = f"control sent at {costs[-1].nodes} nodes / at {costs[0].nodes}"
    return [*rows, Row.at_most(name, ratio, MAX_GROWTH_RATIO)]


def slope_rows(slopes: dict[str, float]) -> list[Row]:
    """Returns the rows for the other costs."""
    calls = slopes["calls_per_1000_items"]
    rows = [Row.at_most("Object API calls per 1,000 batch items", calls, MAX_CALLS_PER_1000_ITEMS)]
    return rows + [Row(name, f"{value:,.2f}") for name, value in slopes.items()]


def main() -> None:
    """Runs the benchmark; exits 1 if a bound is broken."""
    logger.remove()
    is_small = "--small" in sys.argv
    costs = [measure_nodes(nodes) for nodes in (SMALL_SIZES if is_small else SIZES)]
    slopes = measure_slopes(is_small=is_small)
    rows = [*node_rows(costs), *slope_rows(slopes)]
    print_rows("Control", rows, Console(width=100))
    if "--write" in sys.argv and not is_small:
        nodes = {str(cost.nodes): cost._asdict() for cost in costs}
        text = json.dumps({"nodes": nodes, "slopes": slopes}, indent=2)
        SLOPES_PATH.write_text(f"{text}\n")
    failed = [row.measure for row in rows if row.is_met is False]
    print(f"control benches: {len(rows) - len(failed)} rows good, {len(failed)} broken")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
