"""Steps of datagrams over real UDP on a loopback address."""

import random

import anyio
from behave import then, when
from behave.runner import Context

from briarvale.datagrams import UdpDatagrams
from briarvale.peer import PeerAddress

TIMEOUT_S = 10


@when("{count:d} tasks send a datagram each at the same time over UDP")
def when_send(context: Context, count: int) -> None:
    context.received = anyio.run(send_all, count)


async def send_all(count: int) -> set[bytes]:
    address = PeerAddress(f"127.9.{random.randint(1, 250)}.{random.randint(1, 250)}", 7401)
    datagrams, received = UdpDatagrams(), set[bytes]()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(datagrams.serve, address, lambda data, source: received.add(data))
        await anyio.sleep(0.1)
        async with anyio.create_task_group() as senders:
            for number in range(count):
                senders.start_soon(datagrams.send, address, str(number).encode())
        with anyio.move_on_after(TIMEOUT_S):
            while len(received) < count:
                await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()
    return received


@then("all {count:d} datagrams arrive")
def then_arrive(context: Context, count: int) -> None:
    assert len(context.received) == count
