"""Counts the requests in progress, so that a gateway can end after its last one."""

from starlette.types import ASGIApp, Receive, Scope, Send

from .notifier import Notifier

__all__ = ["RequestCount", "RequestCountMiddleware"]


class RequestCount:
    """Requests in progress now."""

    def __init__(self) -> None:
        self.in_progress = 0
        self._changed = Notifier()

    async def wait_idle(self) -> None:
        """Waits until no request is in progress."""
        while self.in_progress:
            await self._changed.wait()

    def enter(self) -> None:
        """Notes the start of a request."""
        self.in_progress += 1

    def leave(self) -> None:
        """Notes the end of a request, its body sent."""
        self.in_progress -= 1
        self._changed.notify()


class RequestCountMiddleware:
    """Counts each HTTP request from its first byte to the end of its answer.

    Args:
        app: The application behind it.
        count: What is counted in.
    """

    def __init__(self, app: ASGIApp, count: RequestCount) -> None:
        self._app = app
        self._count = count

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Passes the request on."""
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return
        self._count.enter()
        try:
            await self._app(scope, receive, send)
        finally:
            self._count.leave()
