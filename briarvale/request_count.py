"""Counts the requests in progress, so that a gateway can exit after the last one."""

from starlette.types import ASGIApp, Receive, Scope, Send

from .notifier import Notifier

__all__ = ["RequestCount", "RequestCountMiddleware"]


class RequestCount:
    """The number of requests in progress."""

    def __init__(self) -> None:
        self.in_progress = 0
        self._changed = Notifier()

    async def wait_idle(self) -> None:
        """Waits until no request is in progress."""
        while self.in_progress:
            await self._changed.wait()

    def enter(self) -> None:
        """Counts a request that starts."""
        self.in_progress += 1

    def leave(self) -> None:
        """Stops counting a request whose response has been sent."""
        self.in_progress -= 1
        self._changed.notify()


class RequestCountMiddleware:
    """ASGI middleware that counts each HTTP request until the end of its response.

    Args:
        app: The wrapped application.
        count: The counter to update.
    """

    def __init__(self, app: ASGIApp, count: RequestCount) -> None:
        self._app = app
        self._count = count

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Calls the application, counting HTTP requests."""
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return
        self._count.enter()
        try:
            await self._app(scope, receive, send)
        finally:
            self._count.leave()
