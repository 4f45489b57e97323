"""The settings of a small deployment: 15 servers, 12 proxies, 90 slices, one supervisor."""

import copy

ZONES = ["belen", "itagui", "bello"]

SETTINGS = {
    "family": "control", "groupSize": 1, "ordinal": 0, "zones": ZONES, "kinds": ["m1"],
    "registryMode": "on_request", "weights": "rough",
    "classes": [
        {"name": "lookup", "aimUs": 750000, "hardLimitUs": 2500000, "effect": "repeatable", "worth": 3.0},
        {"name": "order", "aimUs": 1200000, "hardLimitUs": 3000000, "effect": "once", "worth": 9.0}],
    "limits": {"probes": False, "peerMessages": False},
    "extra": {
        "shards": 90, "proxyCount": 12, "throttleBy": "fraction", "egressPerS": 35000.0, "pendingMax": 52500.0,
        "perMessage": 16.0, "updateCap": 30, "updateWindowUs": 10000000, "pushDelayUs": 250000,
        "pushDelayMaxUs": 480000, "reportEveryUs": 1000000, "intakePerS": 600.0, "blackholeUs": 5200000,
        "usualHow": 0, "tryAims": 0.8, "mutating": [False, True], "oneOwner": False, "leaseUs": 2500000,
        "inFlightMaxUs": 20000, "parkUs": 200000, "selectsBy": "random", "ejects": 0},
    "rules": {"askWithinUs": 10000000, "drainGraceUs": 2000000, "startCapacity": 0.2, "warmAfterUs": 10000000,
              "overloadFactor": 3.0, "fallUs": 1500000}}


def configuration(listen, discovery, relay, seed, change=None):
    settings = copy.deepcopy(SETTINGS)
    if change:
        change(settings)
    return {"name": "n0", "listen": listen, "discovery": discovery, "relay": {"address": relay}, "seed": seed,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"rev": 0, "all": True, "targets": []}, "settings": settings}
