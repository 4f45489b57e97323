"""A removal of owners that was never carried out: a call without an answer, then a reset under the next call."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import standins as s  # noqa: E402

SERVERS = 15
SLICES = 90
HOT = [3, 7]   # slices in demand, of two servers that drain
STEPS = [("s-01", "s-03"), ("s-05", "s-07")]   # the servers of two steps of a deploy; the second drains just after the first


async def case(folder):
    names = ["s-%02d" % k for k in range(SERVERS)]
    owners = [names[number % SERVERS] for number in range(SLICES)]
    world, writes = await s.one_owner_world(folder, names, owners, (0.2, 0.76))
    try:
        world.collectors()
        await world.supervisor()
        # 13% of the traffic on top goes to the slices in demand.
        traffic = asyncio.ensure_future(world.traffic(140, [0.65, 0.35], dict.fromkeys(HOT, 7.7)))
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
            if s.TROUBLE and not reset:
                raise s.CannotRun("the second call of step %d was not reset" % step)
            for k, name in enumerate((first, second)):
                world.remove_server(name)
                world.new_server("t-%d" % (2 * step + k), world.servers[name].az)
        await asyncio.sleep(3)
        traffic.cancel()
        return writes.result()
    finally:
        world.close()


s.main(case)
