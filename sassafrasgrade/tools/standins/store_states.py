"""State of the stand-in for the platform's store: items, leases and changes."""

from dataclasses import dataclass, field

MAX_COMMIT_ENTRIES = 32
# Items per page of a range call, a limit that the platform publishes.
PAGE_ITEMS = 500


@dataclass(slots=True)
class StoreItem:
    """A stored item with the revisions of its creation and of its last change."""

    key: str
    value: str
    revision: int
    created: int
    lease: int = 0

    def as_row(self):
        """Returns the item as it is sent in answers."""
        return {
            "key": self.key,
            "value": self.value,
            "revision": self.revision,
            "created": self.created,
            "lease": self.lease,
        }


@dataclass(slots=True)
class StoreState:
    """Linearizable store with one revision counter.

    Attributes:
        items_by_key: Current items.
        expiry_by_lease: Clock time at which each lease expires, in seconds.
        ttl_by_lease: Time to live of each lease, in seconds.
        events: All changes since the last compaction, in order.
        compacted_revision: Revision up to which changes are discarded.
        revision: Revision of the last change.
    """

    items_by_key: dict[str, StoreItem] = field(default_factory=dict)
    expiry_by_lease: dict[int, float] = field(default_factory=dict)
    ttl_by_lease: dict[int, float] = field(default_factory=dict)
    events: list[dict] = field(default_factory=list)
    compacted_revision: int = 0
    revision: int = 1
    next_lease: int = 1000

    def expire(self, now):
        """Ends expired leases and deletes their keys; returns whether any ended."""
        ended = [k for k, until in self.expiry_by_lease.items() if until <= now]
        for lease in ended:
            self.end_lease(lease)
        return bool(ended)

    def grant(self, ttl_s, now):
        """Grants a lease and returns its id."""
        self.next_lease += 1
        self.ttl_by_lease[self.next_lease] = ttl_s
        self.expiry_by_lease[self.next_lease] = now + ttl_s
        return self.next_lease

    def renew(self, lease, now):
        """Renews a lease; returns False if it has ended."""
        if lease not in self.expiry_by_lease:
            return False
        self.expiry_by_lease[lease] = now + self.ttl_by_lease[lease]
        return True

    def end_lease(self, lease):
        """Ends a lease and deletes its keys; returns False if it had ended."""
        if self.expiry_by_lease.pop(lease, None) is None:
            return False
        self.ttl_by_lease.pop(lease)
        keys = [k for k, item in self.items_by_key.items() if item.lease == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._delete(key)
        return True

    def page(self, prefix, after):
        """Returns a page: its rows, and whether more follow."""
        keys = sorted(
            key for key in self.items_by_key if key.startswith(prefix) and key > after
        )
        rows = [self.items_by_key[key].as_row() for key in keys[:PAGE_ITEMS]]
        return rows, len(keys) > PAGE_ITEMS

    def events_after(self, prefix, revision):
        """Returns changes after a revision, or None if some are discarded."""
        if revision < self.compacted_revision:
            return None
        return [
            event
            for event in self.events
            if event["revision"] > revision and event["key"].startswith(prefix)
        ]

    def compact(self):
        """Discards all changes so far."""
        self.events.clear()
        self.compacted_revision = self.revision

    def commit(self, expected, writes, deletes):
        """Applies a commit if it is valid; returns (status, body)."""
        if len(expected) + len(writes) + len(deletes) > MAX_COMMIT_ENTRIES:
            return 400, {"error": f"more than {MAX_COMMIT_ENTRIES} entries"}
        if any(self._revision_of(row["key"]) != row["revision"] for row in expected):
            keys = [row["key"] for row in expected]
            present = [k for k in keys if k in self.items_by_key]
            return 412, {"items": [self.items_by_key[k].as_row() for k in present]}
        leases = [row.get("lease", 0) for row in writes]
        if any(lease and lease not in self.expiry_by_lease for lease in leases):
            return 404, {"error": "no such lease"}
        self.revision += 1
        for row in writes:
            self._write(row["key"], row["value"], row.get("lease", 0))
        for key in deletes:
            if key in self.items_by_key:
                self._delete(key)
        return 200, {"revision": self.revision}

    def _revision_of(self, key):
        item = self.items_by_key.get(key)
        return item.revision if item is not None else 0

    def _write(self, key, value, lease):
        old = self.items_by_key.get(key)
        created = old.created if old is not None else self.revision
        item = StoreItem(key, value, self.revision, created, lease)
        self.items_by_key[key] = item
        self.events.append(item.as_row())

    def _delete(self, key):
        del self.items_by_key[key]
        event = {"key": key, "revision": self.revision, "deleted": True}
        self.events.append(event)
