"""Entries of workers as another writer may leave them, valid but for one value."""

import base64
import json

from sassafrasgrade.platform.stores import Item

ENTRY = {
    "service": "pool-1",
    "address": "127.0.0.1:1",
    "zone": "z1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "warmupLeftMs": 0,
    "capacity": {"cpu": 16_000, "memMb": 65_536, "gpu": 0},
    "labels": ["a", "r1"],
    "machine": "host-1",
    "born": 5,
    "sequence": 1,
}
NESTING_DEPTH = 200_000
MANY = 100_000
# Entries of a service that no configuration names, more than there are workers.
UNNAMED_SERVICE_ENTRIES = 10
OTHER_KEY = "servers/other"


def entry_value(**fields):
    """Returns an entry as bytes of JSON, with some fields replaced."""
    return json.dumps(ENTRY | fields).encode()


def _address(text):
    return {"address": text}


def _capacity(**fields):
    return {"capacity": ENTRY["capacity"] | fields}


def _leaving(remaining_ms):
    return {"state": "draining", "remainingMs": remaining_ms}


# Fields by what is wrong with them.
FIELDS_BY_FAULT = {
    "port 99999": _address("127.0.0.1:99999"),
    "port 65536": _address("127.0.0.1:65536"),
    "port 0": _address("127.0.0.1:0"),
    "port -1": _address("127.0.0.1:-1"),
    "no port": _address("127.0.0.1"),
    "a port of 100000 digits": _address("127.0.0.1:" + "1" * MANY),
    "an empty address": _address(""),
    "a host name": _address("localhost:1"),
    "an octet over 255": _address("127.0.0.256:1"),
    "an address of three octets": _address("127.0.1:1"),
    "an address in hexadecimal": _address("0x7f000001:1"),
    "a space after the address": _address("127.0.0.1:1 "),
    "a line end after the address": _address("127.0.0.1:1\n"),
    "a path after the address": _address("127.0.0.1:1/x"),
    "a user before the address": _address("user@127.0.0.1:1"),
    "digits of another script": _address("127.0.0.\u0661:1"),
    "a processor share of 10^400": _capacity(cpu=10**400),
    "memory of 10^30": _capacity(memMb=10**30),
    "a negative processor share": _capacity(cpu=-1),
    "negative memory": _capacity(memMb=-1),
    "negative accelerators": _capacity(gpu=-1),
    "born of 10^30": {"born": 10**30},
    "born of -1": {"born": -1},
    "born of 1.5": {"born": 1.5},
    "remaining time of 10^30": _leaving(10**30),
    "a remaining time of -10^30": _leaving(-(10**30)),
    "a warm-up of 10^30": {"warmupLeftMs": 10**30},
    "a service of 100000 characters": {"service": "s" * MANY},
    "a label of 100000 characters": {"labels": ["a", "r" * MANY]},
    "100000 labels": {"labels": ["r"] * MANY},
    "an unknown state": {"state": "odd"},
    "a state that is a number": {"state": 1},
}
VALUES_BY_FAULT = {
    "a value nested 200000 deep": entry_value().replace(
        b"{", b'{"deep":' + b"[" * NESTING_DEPTH + b"]" * NESTING_DEPTH + b",", 1
    ),
    "bytes that are not UTF-8": entry_value().replace(b"pool-1", b"\xff\xfe"),
    "a number of 1e400": entry_value().replace(b"16000", b"1e400"),
} | {fault: entry_value(**fields) for fault, fields in FIELDS_BY_FAULT.items()}
KEYS_BY_FAULT = {
    "an id with a line end": "servers/other\r\nX-Odd: 1",
    "an id with a null byte": "servers/other\0",
    "an id that is not ASCII": "servers/\u00e9\u2603",
    "an empty id": "servers/",
}
VALID_VALUES = {
    "port 1": entry_value(address="127.0.0.1:1"),
    "port 65535": entry_value(address="127.0.0.1:65535"),
    "the highest octets": entry_value(address="255.255.255.255:1"),
    "no capacity at all": entry_value(**_capacity(cpu=0, memMb=0)),
    "10^9 cores": entry_value(**_capacity(cpu=10**12)),
    "no birth": entry_value(born=None),
    "a birth in 2100": entry_value(born=4_102_444_800_000),
    "a remaining time of 0": entry_value(**_leaving(0)),
    "a remaining time of -5": entry_value(**_leaving(-5)),
    "unknown fields": entry_value(colour=10**400, notes=[[1e300]]),
}


def odd_item(fault, key=OTHER_KEY, revision=1):
    """Returns the ``Item`` of an entry with a fault, or of a valid one by its form."""
    if fault in KEYS_BY_FAULT:
        return Item(KEYS_BY_FAULT[fault], entry_value(), revision)
    value = VALUES_BY_FAULT.get(fault) or VALID_VALUES[fault]
    return Item(key, value, revision)


def odd_rows(base):
    """Returns rows of store writes: entries under ids of their own.

    There is one for each fault, and more of a service that is not named.

    Args:
        base: Fields of a valid entry.
    """
    rows = [
        {"key": f"servers/odd-{number}", "value": _base64(json.dumps(base | fields))}
        for number, fields in enumerate(FIELDS_BY_FAULT.values())
    ]
    unnamed = {"service": "odd", "address": "127.0.0.1:1", "machine": "odd"}
    rows += [
        {
            "key": f"servers/odd-unnamed-{number}",
            "value": _base64(json.dumps(base | unnamed)),
        }
        for number in range(UNNAMED_SERVICE_ENTRIES)
    ]
    nested = VALUES_BY_FAULT["a value nested 200000 deep"].decode()
    return [*rows, {"key": "servers/odd-nested", "value": _base64(nested)}]


def odd_rows_over(base_by_key):
    """Returns rows of store writes that replace the entries of workers.

    Args:
        base_by_key: Fields of the workers' valid entries.
    """
    odd_fields = list(FIELDS_BY_FAULT.values())
    return [
        {"key": key, "value": _base64(json.dumps(base | odd_fields[number]))}
        for number, (key, base) in enumerate(base_by_key.items())
    ]


def _base64(text):
    return base64.b64encode(text.encode()).decode()
