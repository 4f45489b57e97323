"""The named sets of day kinds, and the parsers for lists of kinds and seeds."""

SINGLE: tuple[str, ...] = (
    "calm", "throng", "crowd", "term", "reload", "stale", "silent", "brink", "x1", "x4", "x16", "reset", "fleet",
    "rate", "churn", "disco", "wide", "rude", "garble", "long", "roll", "herd", "zone", "split", "join",
)

JOINT: tuple[str, ...] = (
    "silent+stale", "churn+stale", "stale+reload", "silent+term", "stale+term", "throng+stale", "silent+roll",
    "silent+stale+reload", "herd+stale", "zone+silent", "split+stale", "join+stale", "disco+stale", "crowd+term",
    "reload+term", "garble+reload", "reset+stale", "rude+term", "wide+silent", "rate+stale", "churn+term", "brink+stale",
)

FULL: tuple[str, ...] = (
    "calm", "roll", "herd", "zone", "split", "join", "soak", "throng", "crowd", "term", "reload", "stale", "silent",
)

SETS: dict[str, tuple[str, ...]] = {"single": SINGLE, "joint": JOINT, "full": FULL}


def read_kinds(text: str, added: str) -> list[str]:
    """Parses a comma-separated list of kinds and set names; `added` is appended to each kind that lacks it.

    `soak` cannot be combined with other kinds, so nothing is appended to it. Duplicates are removed; the first
    occurrence stays.
    """
    kinds: list[str] = []
    for word in filter(None, (part.strip() for part in text.split(","))):
        for kind in SETS.get(word, (word,)):
            if added and kind != "soak" and added not in kind.split("+"):
                kind = f"{kind}+{added}"
            if kind not in kinds:
                kinds.append(kind)
    if not kinds:
        raise ValueError("the list of kinds is empty")
    return kinds


def read_seeds(text: str) -> list[int]:
    """Parses a comma-separated list of numbers and ranges: `201-203,7` gives 201, 202, 203, 7."""
    seeds: list[int] = []
    for part in filter(None, (part.strip() for part in text.split(","))):
        first, dash, last = part.partition("-")
        numbers = range(int(first), int(last) + 1) if dash else [int(first)]
        seeds.extend(seed for seed in numbers if seed not in seeds)
    if not seeds:
        raise ValueError("the list of seeds is empty")
    return seeds
