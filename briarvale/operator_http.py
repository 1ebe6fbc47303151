"""HTTP routes for operators: readiness, and metrics behind the shared secret."""

import hmac
from collections.abc import Callable

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route
from starlette.types import ASGIApp, Receive, Scope, Send

from .errors import InvalidKey, NotReady
from .metrics_http import metrics_route
from .settings import Settings

__all__ = ["OperatorAuth", "health_route", "operator_app"]


class OperatorAuth:
    """ASGI middleware: refuses requests without `Authorization: Bearer <shared secret>`.

    Args:
        app: The protected application.
        settings: Settings with the shared secret.
    """

    def __init__(self, app: ASGIApp, settings: Settings) -> None:
        self._app = app
        self._expected = f"Bearer {settings.shared_secret}".encode()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Checks the header of each HTTP request."""
        if scope["type"] == "http":
            authorization = dict(scope["headers"]).get(b"authorization", b"")
            if not hmac.compare_digest(authorization, self._expected):
                refusal = JSONResponse(InvalidKey("operators only").body(), InvalidKey.http_status)
                await refusal(scope, receive, send)
                return
        await self._app(scope, receive, send)


def health_route(is_ready: Callable[[], bool]) -> Route:
    """Returns the route `/health/ready`, for the platform's load balancer."""

    async def answer(request: Request) -> Response:
        if is_ready():
            return JSONResponse({"ready": True})
        return JSONResponse(NotReady("not ready").body(), NotReady.http_status)

    return Route("/health/ready", answer)


def operator_app(
    settings: Settings, is_ready: Callable[[], bool], routes: list[Route]
) -> Starlette:
    """Returns a program's operator application; only readiness is open without the secret."""
    protected = Starlette(routes=[metrics_route(), *routes])
    app = Starlette(routes=[health_route(is_ready)])
    app.mount("/", OperatorAuth(protected, settings))
    return app
