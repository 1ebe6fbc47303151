"""What an owner's refusal of a slot means to the process that requested it."""

from ._generated.messages import SlotRefusal
from .errors import (
    BriarvaleError,
    NoServer,
    NotOwner,
    Overloaded,
    OwnerUnreachable,
    Quarantined,
    ServerNotReady,
)

__all__ = ["error_of_refusal"]


def error_of_refusal(refusal: SlotRefusal, server: str) -> BriarvaleError:
    """Returns the error of a refused request.

    Args:
        refusal: The owner's answer.
        server: The backend server, or the pool, whose slot was requested.
    """
    match refusal.code:
        case NotOwner.code:
            return NotOwner(server)
        case OwnerUnreachable.code:
            return OwnerUnreachable("the owner has not yet received all reports of held slots")
        case ServerNotReady.code:
            return ServerNotReady(f"{server} accepts no new work")
        case NoServer.code:
            return NoServer(f"no server of {server} accepts new work")
        case Quarantined.code:
            return Quarantined("this request crashed several backend servers")
        case code:
            message = f"the owner refused a slot: {code}"
            return Overloaded(message, retry_at_ms=refusal.retry_at_ms)
