"""The components that online requests and batch items share to run at backend servers."""

from typing import NamedTuple

from ._generated.messages import SlotRequest, WorkClass
from .clock import Clock
from .crash_guard import CrashGuard
from .forward_client import ForwardClient
from .forward_request import ForwardRequest
from .live_servers import LiveServers
from .slot_client import SlotClient, new_request_id

__all__ = ["ServingComponents"]


class ServingComponents(NamedTuple):
    """The components of a node that run requests.

    Attributes:
        clock: Source of timestamps.
        servers: The backend servers that have an entry in the store.
        slots: Requests slots from the owners of pools.
        forward_client: Runs requests at backend servers.
        crash_guard: Refuses requests that crash backend servers.
        availability_zone: The zone of this node.
    """

    clock: Clock
    servers: LiveServers
    slots: SlotClient
    forward_client: ForwardClient
    crash_guard: CrashGuard
    availability_zone: str

    def slot_request(
        self,
        request: ForwardRequest,
        work_class: WorkClass,
        *,
        deadline_ms: int,
        priority: int,
        excluded: list[str],
    ) -> SlotRequest:
        """Builds a request for one slot of the service's pool."""
        return SlotRequest(
            request_id=new_request_id(),
            backend_server=request.service,
            member=request.workspace,
            work_class=work_class,
            slot_count=1,
            cost_tokens=request.prompt_tokens + request.output_tokens,
            deadline_ms=deadline_ms,
            prompt_tokens=request.prompt_tokens,
            prefix_ids=tuple(part.id for part in request.prompt_parts),
            prefix_tokens=tuple(part.token_count for part in request.prompt_parts),
            output_tokens=request.output_tokens,
            excluded=tuple(excluded),
            priority=priority,
            availability_zone=self.availability_zone,
        )
