"""Renders the settings file that the platform writes for each process."""

from briarvale.clock import MS_PER_S
from briarvale.node_settings import NodeSettings
from briarvale.peer import PeerAddress

TEMPLATE = """
node_name = "{vm_settings.vm}"
zone = "{vm_settings.availability_zone}"
region = "{vm_settings.region}"
ip = "{vm_settings.host}"
internal_ports = [{vm_settings.peer_port}, {last_port}]
[listen]
front = "{front}"
ready = "{ready}"
[bounds]
grace_s = {grace_s}
quota_window_s = {quota_window_s}
quota_overage = {quota.overage}
quota_slack = {quota.slack}
[platform]
address = "{store}"
"""
INTERNAL_PORT_COUNT = 2

__all__ = ["settings_file_text"]


def settings_file_text(settings: NodeSettings) -> str:
    """Returns the text of the settings file for a node that serves callers."""
    return TEMPLATE.format(
        vm_settings=settings.vm_settings,
        last_port=settings.vm_settings.peer_port + INTERNAL_PORT_COUNT - 1,
        front=_address_text(settings.caller_address),
        ready=_address_text(settings.readiness_address),
        grace_s=settings.time_limits.grace_ms / MS_PER_S,
        quota=settings.quota,
        quota_window_s=settings.quota.window_ms / MS_PER_S,
        store=_address_text(settings.store.address),
    )


def _address_text(address: PeerAddress | None) -> str:
    assert address is not None
    return f"{address.host}:{address.port}"
