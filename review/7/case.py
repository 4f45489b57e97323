"""A removal of owners that was never carried out: a call without an answer, then a reset under the next call."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import standins as s  # noqa: E402

SERVERS = 10
SLICES = 30
STEPS = [("s-1", "s-3"), ("s-5", "s-7")]   # the servers of two steps of a deploy; the second drains just after the first


async def case(folder):
    names = ["s-%d" % k for k in range(SERVERS)]
    owners = [names[number % SERVERS] for number in range(SLICES)]
    world, writes = await s.one_owner_world(folder, names, owners, (0.2, 0.76))
    try:
        traffic = asyncio.ensure_future(world.traffic(140, [0.7, 0.3], dict.fromkeys((3, 13, 23, 7, 17, 27), 1.8)))
        world.collectors()
        await world.supervisor()
        await asyncio.sleep(8)

        for step, (first, second) in enumerate(STEPS):
            told = []
            reset = []

            def on_call(orders):
                if not told and any(order.endswith(",%s,0" % first) for order in orders):
                    told.append(second)
                    world.discovery.state(second, "DRAINING")
                    return "run, no answer" if s.TROUBLE else "run"
                if s.TROUBLE and not reset and any(order.endswith(",%s,0" % second) for order in orders):
                    reset.append(True)
                    return "reset unrun"
                return "run"

            world.relay.on_call = on_call
            world.discovery.state(first, "DRAINING")
            await asyncio.sleep(9)
            for k, name in enumerate((first, second)):
                world.discovery.state(name, "DELETED")
                world.new_server("t-%d" % (2 * step + k), world.servers[name].az)
        await asyncio.sleep(3)
        traffic.cancel()
        return writes.result()
    finally:
        world.close()


s.main(case)
