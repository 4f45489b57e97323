"""Two owners of one slice: the replay of the relay's news arrives in pieces, cut between a slice and its line."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import standins as s  # noqa: E402

PIECE_GAP = 0.1   # seconds between two pieces
SERVERS = 15
SLICES = 94
CUT_SLICES = [49, 64, 79]   # of s-00
HOT = CUT_SLICES[1:]        # slices in demand


async def case(folder):
    names = ["s-%02d" % k for k in range(SERVERS)]
    owners = [names[max(0, number - 4) % SERVERS] for number in range(SLICES)]   # s-00 has four more than the others
    world, writes = await s.one_owner_world(folder, names, owners, (0.098, 0.76))
    try:
        if s.TROUBLE:
            cuts = ["* entry %d " % number for number in CUT_SLICES]

            def gap(line):
                if cuts and line.startswith(cuts[0]):
                    cuts.pop(0)
                    return PIECE_GAP
                return 0
            world.relay.replay_gap = gap
        world.collectors()
        await world.supervisor()
        # 13% of the traffic on top goes to the slices in demand.
        traffic = asyncio.ensure_future(world.traffic(140, [0.65, 0.35], dict.fromkeys(HOT, 8.3)))
        await asyncio.sleep(20)
        traffic.cancel()
        if s.TROUBLE and cuts:
            raise s.CannotRun("the replay was not cut")
        return writes.result()
    finally:
        world.close()


s.main(case)
