"""Steps for the choice of backend servers."""

from collections import Counter

import anyio
from behave import then, when
from behave.runner import Context

from briarvale._generated.messages import ServerHealth, ServerState, VmState
from briarvale.engine_client import CacheEvent, CacheEvents
from briarvale.prefix_cache import BLOCK_TOKENS, PrefixCache
from briarvale.routing import Router, RouteRequest
from briarvale.slot_client import ServerLoad
from briarvale.standins.memory_fleet import ENGINE_SERVICE, MemoryFleet
from features.support.online import (
    ask,
    ask_all,
    count_prefill,
    online_request,
    prefix_of,
    record_attempts,
    run_on_fleet,
)


@when("{sessions:d} sessions of {turns:d} requests share {tokens:d} tokens each on 6 engines")
def when_sessions(context: Context, sessions: int, turns: int, tokens: int) -> None:
    async def run_load(fleet: MemoryFleet) -> None:
        prefill = count_prefill(fleet)
        for turn in range(turns):
            requests = [
                online_request(fleet, f"s{s}-{turn}", 8, prompt=f"{prefix_of(s, tokens)} {turn}")
                for s in range(sessions)
            ]
            context.answers += await ask_all(fleet, requests, f"vm-{turn % 3 + 1}")
        context.prefill = prefill

    context.answers = []
    run_on_fleet(run_load, engine_count=6)


@then("every routed answer is complete")
def then_whole(context: Context) -> None:
    assert all(answer.is_complete for answer in context.answers)


@then("the engines prefilled at most half of the prompt tokens")
def then_prefilled(context: Context) -> None:
    assert context.prefill["prefilled"] <= 0.5 * context.prefill["prompt"], context.prefill


@when("{count:d} requests with one prefix arrive at once on 6 engines")
def when_one_prefix(context: Context, count: int) -> None:
    async def run_load(fleet: MemoryFleet) -> int:
        peak_streams = 0

        async def record_peak() -> None:
            nonlocal peak_streams
            while True:
                peak_streams = max(
                    peak_streams, *(e.stream_count for e in fleet.backends.engines.values())
                )
                await anyio.sleep(0.01)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(record_peak)
            prompts = [f"{prefix_of(0, 320)} {n}" for n in range(count)]
            requests = [
                online_request(fleet, f"r{n}", 30, prompt=prompt)
                for n, prompt in enumerate(prompts)
            ]
            context.answers = await ask_all(fleet, requests)
            tasks.cancel_scope.cancel()
        return peak_streams

    context.peak_streams = run_on_fleet(run_load, engine_count=6, slots=32)


@then("no engine had more than {count:d} of them at once")
def then_peak(context: Context, count: int) -> None:
    assert context.peak_streams <= count, context.peak_streams


class _StaleView:
    """A view of ready servers that is never updated, for routers that share one load report."""

    def __init__(self, fleet: MemoryFleet) -> None:
        self.config = fleet.vms["vm-1"].gateway.view.config
        self.vms = tuple(VmState(f"vm-{n}") for n in range(6))

    def server_state(self, backend_server: str) -> ServerState:
        """Returns a ready state for any server."""
        return ServerState(backend_server, "", ServerHealth.READY)


@when("{gateways:d} gateways with one stale load route {count:d} requests at once")
def when_stale(context: Context, gateways: int, count: int) -> None:
    async def route_requests(fleet: MemoryFleet) -> Counter[str]:
        view = _StaleView(fleet)
        chosen: Counter[str] = Counter()
        routers = [Router(view, seed) for seed in range(gateways)]  # type: ignore[arg-type]
        for router in routers:
            for n in range(1, 7):
                router.loads.record_load(ServerLoad(f"bs-{n}", 0 if n == 1 else 6, 0, 16))
        await anyio.sleep(1)
        for index in range(count):
            router = routers[index % gateways]
            server = router.choose(RouteRequest(ENGINE_SERVICE, "short")).id
            router.loads.record_start(server)
            chosen[server] += 1
        return chosen

    context.chosen = run_on_fleet(route_requests, engine_count=6)


@then("no server is chosen for more than {count:d} of them")
def then_chosen(context: Context, count: int) -> None:
    assert max(context.chosen.values()) <= count, context.chosen


@when("cache events of two servers arrive and one has a gap")
def when_gap(context: Context) -> None:
    async def apply_gapped_events(fleet: MemoryFleet) -> PrefixCache:
        gateway = fleet.vms["vm-1"].gateway
        cache = PrefixCache(gateway.environment, gateway.view)
        for name in ("bs-1", "bs-2"):
            cache.apply_events(name, _events(1, 2, 3))
        cache.apply_events("bs-1", _events(5, 6))
        cache.apply_events("bs-2", _events(4, 5, 6))
        return cache

    context.cache = run_on_fleet(apply_gapped_events)


def _events(*sequences: int) -> CacheEvents:
    events = tuple(CacheEvent(number, f"b{number}", True) for number in sequences)
    return CacheEvents(events, sequences[-1])


@then("the index of the server with the gap has only the blocks after it")
def then_dropped(context: Context) -> None:
    assert context.cache.cached_tokens("bs-1", ["b1", "b2", "b3"]) == 0
    assert context.cache.cached_tokens("bs-1", ["b5", "b6"]) == 2 * BLOCK_TOKENS


@then("the other server's index is kept")
def then_kept(context: Context) -> None:
    blocks = [f"b{number}" for number in range(1, 7)]
    assert context.cache.cached_tokens("bs-2", blocks) == 6 * BLOCK_TOKENS


@when("cache events are dropped and {count:d} requests with one prefix run on 2 engines")
def when_events_dropped(context: Context, count: int) -> None:
    async def run_load(fleet: MemoryFleet) -> None:
        for engine in fleet.backends.engines.values():
            engine.faults.drop_events = True
        for index in range(count):
            prompt = f"{prefix_of(index % 2, 160)} {index}"
            request = online_request(fleet, f"r{index}", 8, prompt=prompt)
            context.answers.append(await ask(fleet, request))
            await anyio.sleep(0.3)

    context.answers = []
    run_on_fleet(run_load, engine_count=2)


@when("{count:d} requests ask for an adapter that one of 3 engines has")
def when_adapter(context: Context, count: int) -> None:
    async def run_load(fleet: MemoryFleet) -> None:
        # Without controllers, which would unload an adapter that the inventory does not declare.
        for vm in fleet.vms.values():
            vm.kill("controller")
        fleet.backends.engines["bs-2"].adapters = ("accordion",)
        await anyio.sleep(3)
        context.attempts = record_attempts(fleet)
        requests = [
            online_request(fleet, f"r{n}", 8)._replace(adapter="accordion") for n in range(count)
        ]
        context.answers = await ask_all(fleet, requests)

    run_on_fleet(run_load, engine_count=3)


@then("the other engines were sent none of them")
def then_adapter(context: Context) -> None:
    assert {attempt.server for attempt in context.attempts} == {"bs-2"}
