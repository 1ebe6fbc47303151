"""Steps for single items of jobs, in virtual time."""

from typing import Any, cast

import anyio
from behave import then, when
from behave.runner import Context

from briarvale.clock import Clock
from briarvale.live_servers import LiveServers
from briarvale.opaque_item_runner import GIVEN_UP, ItemState, OpaqueItemRunner
from briarvale.opaque_jobs import OpaqueItem, OpaqueJob
from briarvale.peer import PeerAddress
from briarvale.platform.batch_job_handler import ItemRequests
from briarvale.serving_components import ServingComponents
from briarvale.slot_client import SlotClient
from features.support.virtual import run_virtual

GIVE_UP_AFTER_MS = 3 * 3_600_000


class NoOwners:
    """A cluster view in which no node owns a pool."""

    def owner_address(self, backend_server: str) -> PeerAddress | None:
        """Returns `None`: no owner."""
        return None

    async def wait_changed(self) -> None:
        """Waits forever."""
        await anyio.sleep_forever()


def job_of_one(now_ms: int) -> OpaqueJob:
    """Returns a job of one item, which is retried for `GIVE_UP_AFTER_MS` at most."""
    return OpaqueJob(
        job_id="job-1",
        host="desk.example",
        service="desk",
        priority=0,
        submitted_at_ms=now_ms,
        due_at_ms=now_ms,
        give_up_at_ms=now_ms + GIVE_UP_AFTER_MS,
        max_attempts=3,
        items=(OpaqueItem("item-a", "/lot/item-a", (), ""),),
    )


@when("an item may run for three hours and its service has no backend server")
def when_no_server(context: Context) -> None:
    async def run() -> dict[str, Any]:
        clock = Clock.from_system()
        started_at_ms = clock.now_ms()
        async with anyio.create_task_group() as tasks:
            slots = SlotClient(cast(Any, None), NoOwners(), tasks)
            servers = LiveServers(clock.now_ms, 0)
            components = ServingComponents(
                clock, servers, slots, cast(Any, None), cast(Any, None), "caerdydd"
            )
            items = OpaqueItemRunner(components, ItemRequests(clock))
            job = job_of_one(started_at_ms)
            result = await items.run(job, ItemState(0, job.items[0]))
            tasks.cancel_scope.cancel()
        return {"code": result.error_code, "took ms": clock.now_ms() - started_at_ms}

    context.facts = run_virtual(run)


@then("it is abandoned when three hours have passed")
def then_given_up(context: Context) -> None:
    facts = context.facts
    assert facts["code"] == GIVEN_UP, facts
    assert GIVE_UP_AFTER_MS <= facts["took ms"] <= GIVE_UP_AFTER_MS + 1_000, facts
