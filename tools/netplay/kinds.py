"""The kinds of day that the net knows, and how a list of kinds is read."""

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
    """Reads a comma list of kinds and names of sets; `added` is joined to each kind that lacks it.

    `soak` is a day of its own and stays alone. A kind that comes twice is kept once, in the place where it came first.
    """
    kinds: list[str] = []
    for word in filter(None, (part.strip() for part in text.split(","))):
        for kind in SETS.get(word, (word,)):
            if added and kind != "soak" and added not in kind.split("+"):
                kind = f"{kind}+{added}"
            if kind not in kinds:
                kinds.append(kind)
    if not kinds:
        raise ValueError("no kind of day is named")
    return kinds


def read_seeds(text: str) -> list[int]:
    """Reads seeds as a comma list of numbers and ranges: `201-203,7` gives 201, 202, 203, 7."""
    seeds: list[int] = []
    for part in filter(None, (part.strip() for part in text.split(","))):
        first, dash, last = part.partition("-")
        numbers = range(int(first), int(last) + 1) if dash else [int(first)]
        seeds.extend(seed for seed in numbers if seed not in seeds)
    if not seeds:
        raise ValueError("no seed is named")
    return seeds
