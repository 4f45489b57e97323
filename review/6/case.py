"""Two owners of one slice: the replay of the relay's news arrives in two pieces, cut between a slice and its line."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import standins as s  # noqa: E402

ZONES = ["via-roma", "deposito-nord", "contrada-sud"]
CLASSES = [{"name": "preventivo", "aimUs": 2500000, "hardLimitUs": 6000000, "effect": "repeatable", "worth": 1.0},
           {"name": "prenota", "aimUs": 3000000, "hardLimitUs": 10000000, "effect": "once", "worth": 3.0}]
PIECE_GAP = 0.1   # seconds between the two pieces
CUT_SLICE = 6


async def case(folder):
    settings = s.settings(CLASSES, {"shards": 18, "oneOwner": True, "leaseUs": 800000, "inFlightMaxUs": 1000000,
                                    "mutating": [False, True], "updateCap": 0}, {"drainGraceUs": 3000000}, ZONES)
    world = s.World(folder, settings, ZONES, one_owner=True)
    try:
        await world.start()
        names = ["s-%d" % k for k in range(6)]
        for k, name in enumerate(names):
            world.add_server(name, ZONES[k % 3])
            world.servers[name].time = lambda: s.random.uniform(0.4, 0.85)
        for number in range(18):
            world.relay.tables[number] = {names[number % 6]: "1.0"}
        world.add_proxies(8, (0.098, 0.44))
        writes = s.OwnerRule(world, "prenota")
        world.on_attempt = writes.begin
        if s.TROUBLE:
            cut = "* entry %d " % CUT_SLICE
            gaps = [PIECE_GAP]
            world.relay.replay_gap = lambda line: gaps.pop() if gaps and line.startswith(cut) else 0
        traffic = asyncio.ensure_future(world.traffic(140, [0.7, 0.3], {CUT_SLICE: 3}))
        world.collectors()
        await world.supervisor()
        await asyncio.sleep(20)
        traffic.cancel()
        return writes.result()
    finally:
        world.close()


s.main(case)
