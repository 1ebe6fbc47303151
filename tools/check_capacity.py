"""Checks that the figures in docs/CAPACITY.md follow from the measured slopes.

Each figure of the page is in a table row that starts with its name in backquotes. Run as
`python -m tools.check_capacity`, or with `--write` to write the figures into the page.
"""

import json
import re
import sys
from collections.abc import Callable
from pathlib import Path

from briarvale._generated.messages import VmHealth, VmState
from briarvale.config_sync import POLL_INTERVAL_S, WATCH_TIMEOUT_S, WATCHERS_PER_REGION
from briarvale.heartbeats import RUMOR_BYTES_PER_S
from briarvale.rumors import RETRANSMIT_FACTOR, size_bytes

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
SLOPES = ROOT / "docs" / "capacity-slopes.json"
ROW = re.compile(r"^\| `(\w+)` \| ([^|]*) \|", re.MULTILINE)

# Size and load of the fleet for which the page states its figures.
NODES = 1_100
VMS = NODES
SERVERS = 10_000
REQUESTS_PER_S = 68_000
TOKENS_PER_S = 28_000_000
MODEL_SERVICES = 8
ITEMS_PER_DAY = 83_000_000
JOBS = 1_000
CONFIG_CHANGES_PER_DAY = 19_000
VM_EVENTS_PER_DAY = 57 + 3_900
CHANGES_PER_VM_EVENT = 3
REGIONS = 6
ZONES = 16
S_PER_DAY = 86_400
LOCAL_PROGRAMS = 3
BYTES_PER_MB = 1_000_000
RUMOR_SENDS = RETRANSMIT_FACTOR * (VMS + 1).bit_length()
RUMOR_SIZE_BYTES = size_bytes(
    VmState("vm-1042", "10.11.12.13", "wales", "caerdydd", VmHealth.ALIVE, 1)
)

Figures = dict[str, float]
Formula = Callable[[dict[str, float], Figures], float]


def config_changes_per_s() -> float:
    """Returns the mean rate of configuration changes."""
    return CONFIG_CHANGES_PER_DAY / S_PER_DAY


def vm_changes_per_s() -> float:
    """Returns the mean rate of changes of a VM's health."""
    return VM_EVENTS_PER_DAY * CHANGES_PER_VM_EVENT / S_PER_DAY


# Computes each figure from `n`, the costs at 1,100 nodes, and `s`, the other slopes.
FORMULAS: dict[str, Formula] = {
    "heartbeat_bytes_per_s": lambda n, s: n["bytes_per_s"],
    "config_bytes_per_s": lambda n, s: config_changes_per_s() * s["config_change_bytes"],
    "rumor_bytes": lambda n, s: RUMOR_SENDS * RUMOR_SIZE_BYTES,
    "rumor_bytes_per_s": lambda n, s: vm_changes_per_s() * RUMOR_SENDS * RUMOR_SIZE_BYTES,
    "rumors_per_s": lambda n, s: RUMOR_BYTES_PER_S / (RUMOR_SENDS * RUMOR_SIZE_BYTES),
    "control_bytes_per_s": lambda n, s: (
        n["bytes_per_s"]
        + vm_changes_per_s() * RUMOR_SENDS * RUMOR_SIZE_BYTES
        + config_changes_per_s() * s["config_change_bytes"]
    ),
    "control_bytes_at_most_per_s": lambda n, s: (
        n["bytes_per_s"] + RUMOR_BYTES_PER_S + config_changes_per_s() * s["config_change_bytes"]
    ),
    "heartbeat_cpu_percent": lambda n, s: n["cpu_ms_per_s"] / 10,
    "config_cpu_percent": lambda n, s: config_changes_per_s() * s["config_change_ms"] / 10,
    "owners_cpu_percent": lambda n, s: vm_changes_per_s() * s["owners_change_ms"] / 10,
    "view_cpu_percent": lambda n, s: vm_changes_per_s() * s["view_change_ms"] / 10,
    "dispatcher_cpu_percent": lambda n, s: (
        n["cpu_ms_per_s"] / 10
        + config_changes_per_s() * s["config_change_ms"] / 10
        + vm_changes_per_s() * (s["owners_change_ms"] + s["view_change_ms"]) / 10
    ),
    "vms_mb": lambda n, s: VMS * s["vm_memory_bytes"] / BYTES_PER_MB,
    "servers_mb": lambda n, s: 2 * SERVERS * s["server_memory_bytes"] / BYTES_PER_MB,
    "config_mb": lambda n, s: s["config_memory_bytes"] / BYTES_PER_MB,
    "state_mb": lambda n, s: (
        VMS * s["vm_memory_bytes"]
        + 2 * SERVERS * s["server_memory_bytes"]
        + s["config_memory_bytes"]
    )
    / BYTES_PER_MB,
    "interpreter_mb": lambda n, s: s["dispatcher_rss_mb"],
    "detection_s": lambda n, s: n["detection_s"],
    "rumor_s": lambda n, s: n["rumor_s"],
    "config_s": lambda n, s: n["config_s"],
    "config_reads_per_s": lambda n, s: (
        REGIONS * WATCHERS_PER_REGION / WATCH_TIMEOUT_S
        + NODES / POLL_INTERVAL_S
        + REGIONS * WATCHERS_PER_REGION * config_changes_per_s() * s["config_fetch_reads"]
        + config_changes_per_s() * s["config_apply_reads"]
    ),
    "config_writes_per_s": lambda n, s: config_changes_per_s() * s["config_apply_writes"],
    "config_reads_of_watching_per_s": lambda n, s: (
        NODES / WATCH_TIMEOUT_S + NODES * config_changes_per_s() * s["config_fetch_reads"]
    ),
    "batch_reads_per_s": lambda n, s: NODES * s["job_idle_calls_per_s"],
    "batch_calls_per_s": lambda n, s: (
        ITEMS_PER_DAY / S_PER_DAY * s["calls_per_1000_items"] / 1_000
        + JOBS / S_PER_DAY * s["calls_per_job"]
    ),
    "lease_calls_per_s": lambda n, s: MODEL_SERVICES * s["lease_calls_per_s"],
    "items_per_s": lambda n, s: ITEMS_PER_DAY / S_PER_DAY,
    "batch_cpu_percent": lambda n, s: ITEMS_PER_DAY / S_PER_DAY * s["item_cpu_ms"] / 10 / NODES,
    "requests_per_gateway_per_s": lambda n, s: REQUESTS_PER_S / NODES,
    "request_cores": lambda n, s: REQUESTS_PER_S * s["request_us"] / 1e6,
    "tokens_per_gateway_per_s": lambda n, s: TOKENS_PER_S / NODES,
    "token_cores": lambda n, s: TOKENS_PER_S * s["token_us"] / 1e6,
    "token_cores_per_gateway": lambda n, s: TOKENS_PER_S * s["token_us"] / 1e6 / NODES,
    "token_us_for_one_core": lambda n, s: 1e6 * NODES / TOKENS_PER_S,
    "grants_per_owner_per_s": lambda n, s: REQUESTS_PER_S / NODES,
    "grant_cpu_percent": lambda n, s: (
        REQUESTS_PER_S / NODES * s["grant_us_all_members"] / 1e6 * 100
    ),
    "grant_cpu_percent_today": lambda n, s: (
        REQUESTS_PER_S / NODES * s["grant_us_2_members"] / 1e6 * 100
    ),
    "zone_rumor_kb": lambda n, s: (VMS + SERVERS) / ZONES * RUMOR_SIZE_BYTES / 1_000,
    "config_first_s": lambda n, s: s["config_first_ms"] / 1_000,
    "document_mb_per_day": lambda n, s: CONFIG_CHANGES_PER_DAY
    * s["config_change_bytes"]
    / BYTES_PER_MB,
    "zone_rumor_s": lambda n, s: (VMS + SERVERS) / ZONES * RUMOR_SIZE_BYTES / RUMOR_BYTES_PER_S,
    "whole_view_mb_per_s": lambda n, s: (
        vm_changes_per_s() * LOCAL_PROGRAMS * s["view_bytes"] / BYTES_PER_MB
    ),
}


def figures() -> dict[str, str]:
    """Returns each figure as the page should show it."""
    measured = json.loads(SLOPES.read_text())
    nodes, slopes = measured["nodes"][str(NODES)], measured["slopes"]
    return {name: format_figure(formula(nodes, slopes)) for name, formula in FORMULAS.items()}


def format_figure(value: float) -> str:
    """Formats a figure with three significant digits, or as an integer from 100 on."""
    if value >= 100:
        return f"{round(value):,}"
    return f"{value:.3g}"


def main() -> None:
    """Checks the page, or writes its figures with `--write`; exits 1 where they differ."""
    expected = figures()
    text = PAGE.read_text()
    if "--write" in sys.argv:
        PAGE.write_text(ROW.sub(lambda row: f"| `{row[1]}` | {expected[row[1]]} |", text))
        return
    page_figures = dict(ROW.findall(text))
    problems = [f"{name}: not on the page" for name in expected if name not in page_figures]
    problems += [f"{name}: no formula" for name in page_figures if name not in expected]
    problems += [
        f"{name}: the page says {page_figures[name]}, the slopes give {figure}"
        for name, figure in expected.items()
        if name in page_figures and page_figures[name] != figure
    ]
    print("\n".join(problems) or f"{len(page_figures)} figures of the capacity page agree")
    sys.exit(bool(problems))


if __name__ == "__main__":
    main()
