"""Two owners of one slice: the replay of the relay's news arrives in pieces, cut between a slice and its line."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import standins as s  # noqa: E402

ZONES = ["via-roma", "deposito-nord", "contrada-sud"]
CLASSES = [{"name": "preventivo", "aimUs": 2500000, "hardLimitUs": 6000000, "effect": "repeatable", "worth": 1.0},
           {"name": "prenota", "aimUs": 3000000, "hardLimitUs": 10000000, "effect": "once", "worth": 3.0}]
PIECE_GAP = 0.1   # seconds between two pieces
CUT_SLICES = [10, 16, 22]
SLICES = 24


async def case(folder):
    settings = s.settings(CLASSES, {"shards": SLICES, "oneOwner": True, "leaseUs": 800000, "inFlightMaxUs": 1000000,
                                    "mutating": [False, True], "updateCap": 0,
                                    "pushDelayUs": 305000, "pushDelayMaxUs": 762500}, {"drainGraceUs": 3000000}, ZONES)
    world = s.World(folder, settings, ZONES, one_owner=True)
    try:
        await world.start()
        names = ["s-%d" % k for k in range(6)]
        for k, name in enumerate(names):
            world.add_server(name, ZONES[k % 3])
            world.servers[name].time = lambda: s.random.uniform(0.6, 0.95)
        for number in range(SLICES):   # s-0 has four slices more than the others
            world.relay.tables[number] = {names[max(0, number - 4) % 6]: "1.0"}
        world.add_proxies(8, (0.098, 0.76))
        writes = s.OwnerRule(world, "prenota")
        world.on_attempt = writes.begin
        if s.TROUBLE:
            cuts = ["* entry %d " % number for number in CUT_SLICES]

            def gap(line):
                if cuts and line.startswith(cuts[0]):
                    cuts.pop(0)
                    return PIECE_GAP
                return 0
            world.relay.replay_gap = gap
        traffic = asyncio.ensure_future(world.traffic(140, [0.65, 0.35], dict.fromkeys(CUT_SLICES, 2)))
        world.collectors()
        await world.supervisor()
        await asyncio.sleep(20)
        traffic.cancel()
        return writes.result()
    finally:
        world.close()


s.main(case)
