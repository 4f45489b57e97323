"""A removal of owners that was never carried out: a call without an answer, then a reset under the next call."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import standins as s  # noqa: E402

SERVERS = 10
SLICES = 30
FIRST, SECOND = "s-1", "s-3"   # the servers that drain, one shortly after the other


async def case(folder):
    names = ["s-%d" % k for k in range(SERVERS)]
    owners = [names[number % SERVERS] for number in range(SLICES)]
    world, writes = await s.one_owner_world(folder, names, owners, (0.2, 0.76))
    try:
        traffic = asyncio.ensure_future(world.traffic(140, [0.7, 0.3], {3: 2, 13: 2, 23: 2}))
        world.collectors()
        await world.supervisor()
        await asyncio.sleep(8)

        told = []
        reset = []

        def on_call(orders):
            if not told and any(order.endswith(",%s,0" % FIRST) for order in orders):
                told.append(SECOND)
                world.discovery.state(SECOND, "DRAINING")
                return "run, no answer" if s.TROUBLE else "run"
            if s.TROUBLE and not reset and any(order.endswith(",%s,0" % SECOND) for order in orders):
                reset.append(True)
                return "reset unrun"
            return "run"

        world.relay.on_call = on_call
        world.discovery.state(FIRST, "DRAINING")
        await asyncio.sleep(12)
        traffic.cancel()
        return writes.result()
    finally:
        world.close()


s.main(case)
