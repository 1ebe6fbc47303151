"""The HTTP route of the metrics."""

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from .metrics import render_metrics

__all__ = ["metrics_route"]


async def _answer_metrics(request: Request) -> Response:
    content, headers = render_metrics(request.headers.getlist("accept"))
    return Response(content, headers=headers)


def metrics_route() -> Route:
    """Returns the route `/metrics`."""
    return Route("/metrics", _answer_metrics)
