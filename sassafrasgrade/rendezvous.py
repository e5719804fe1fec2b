"""Rendezvous hashing: every process ranks the same names the same way."""

import xxhash


def score(name, key):
    """Returns the score of ``name`` for ``key`` as a 64-bit integer."""
    return xxhash.xxh3_64_intdigest(f"{name}\x00{key}".encode())


def rank_names(names, key):
    """Returns the names by descending score for ``key``."""
    return sorted(names, key=lambda name: score(name, key), reverse=True)
