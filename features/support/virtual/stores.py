"""The simulated store: conditions, leases, watches, and its disruptions."""

import base64

import msgspec

from sassafrasgrade.platform import names

STORE = "store"
STORE_ADDRESS = "10.0.0.1:7400"
# Time that the store takes for a call, in seconds.
MIN_WORK_S = 0.001
MAX_WORK_S = 0.005
MAX_PAGE_ITEMS = 500
# Time without a heartbeat after which a registration is removed, in seconds.
HEARTBEAT_S = 1.0 / 3
REGISTRATION_S = 3 * HEARTBEAT_S


class SimulatedStore:
    """Keeps items, leases and history.

    Attributes:
        down_until: Time until which no call is carried out.
        refuses_when_down: Whether a store that is down answers with 503.
        slow_s: Longest additional time of a call until ``slow_until``.
        lost_share: Share of the answers that are lost until ``lost_until``.
        late_share: Share of the commits carried out late until ``late_until``.
        refused_until_by_node: Pairs of a time and how a node is refused until then.
        deaf_until: Time until which watches are not answered.
    """

    def __init__(self, world, random_source):
        self._world = world
        self._random = random_source
        self.items_by_key = {}
        self.revision = 10
        self._history = []
        self._leases = {}
        self._next_lease = 100
        self._watches = []
        self._heard_at = {}
        self.on_change = []
        self.down_until = self.slow_until = self.lost_until = self.late_until = 0.0
        self.deaf_until = 0.0
        self.refuses_when_down = False
        self.pauses_leases = True
        self.slow_s = self.lost_share = self.late_share = 0.0
        self.refused_until_by_node = {}
        world.network.listen(STORE_ADDRESS, STORE, self.handle)
        world.every(HEARTBEAT_S, self._expire_registrations)

    # Calls.

    def handle(self, arrival):
        """Carries out a call of a node, as far as the disruptions let it."""
        now = self._world.now
        if now < self.down_until:
            if self.refuses_when_down:
                arrival.respond(503, {})
            return
        until, how = self.refused_until_by_node.get(arrival.caller, (0.0, ""))
        if now < until:
            if how != "silent":
                arrival.respond(int(how), {})
            return
        work_s = self._random.uniform(MIN_WORK_S, MAX_WORK_S)
        if now < self.slow_until:
            work_s += self._random.uniform(0, self.slow_s)
        is_commit = arrival.path == names.STORE_COMMIT_PATH
        if is_commit and now < self.late_until:
            if self._random.random() < self.late_share:
                arrival.respond = lambda status, value: None
                work_s += self._random.uniform(1.0, 6.0)
        if now < self.lost_until and self._random.random() < self.lost_share:
            arrival.respond = lambda status, value: None
        self._world.at(now + work_s, self._execute, arrival)

    def _execute(self, arrival):
        self._expire_leases()
        path = arrival.path
        if path == names.STORE_KEY_PATH:
            item = self.items_by_key.get(arrival.query["key"])
            arrival.respond(200 if item else 404, item or {})
        elif path == names.STORE_RANGE_PATH:
            self._read_range(arrival)
        elif path == names.STORE_WATCH_PATH:
            self._watch(arrival)
        elif path == names.STORE_COMMIT_PATH:
            self._commit(arrival)
        else:
            self._handle_lease(arrival, path)

    def _read_range(self, arrival):
        prefix, after = arrival.query["prefix"], arrival.query.get("after", "")
        keys = sorted(k for k in self.items_by_key if k.startswith(prefix))
        keys = [key for key in keys if key > after]
        items = [self.items_by_key[key] for key in keys[:MAX_PAGE_ITEMS]]
        has_more = len(keys) > MAX_PAGE_ITEMS
        page = {"items": items, "hasMore": has_more, "currentRev": self.revision}
        arrival.respond(200, page)

    def _watch(self, arrival):
        after = int(arrival.query["after"])
        prefix = arrival.query["prefix"]
        watch = [prefix, after, arrival, False]
        self._watches.append(watch)
        wait_s = int(arrival.query["waitMs"]) / 1000.0
        self._world.at(self._world.now + wait_s, self._answer_watch, watch, True)
        self._answer_watch(watch, False)

    def _answer_watch(self, watch, is_over):
        prefix, after, arrival, is_answered = watch
        if is_answered:
            return
        if self._world.now < max(self.deaf_until, self.down_until):
            self._world.at(
                max(self.deaf_until, self.down_until),
                self._answer_watch,
                watch,
                is_over,
            )
            return
        events = [
            event
            for event in self._history
            if event["revision"] > after and event["key"].startswith(prefix)
        ]
        if events or is_over:
            watch[3] = True
            if watch in self._watches:
                self._watches.remove(watch)
            arrival.respond(200, {"events": events, "currentRev": self.revision})

    def _commit(self, arrival):
        body = arrival.body
        expected = body.get("expectedRev", ())
        current = [self.items_by_key.get(row["key"]) for row in expected]
        for row, item in zip(expected, current, strict=True):
            if (item["revision"] if item else 0) != row["revision"]:
                rows = zip(expected, current, strict=True)
                items = [i or {"key": r["key"], "revision": 0} for r, i in rows]
                arrival.respond(412, {"items": items})
                return
        for row in body.get("writes", ()):
            if row.get("lease") and row["lease"] not in self._leases:
                arrival.respond(404, {})
                return
        self._apply(body.get("writes", ()), body.get("deletes", ()))
        arrival.respond(200, {"revision": self.revision})

    def _apply(self, writes, deletes):
        self.revision += 1
        for row in writes:
            item = {
                "key": row["key"],
                "value": row["value"],
                "revision": self.revision,
                "lease": row.get("lease", 0),
            }
            self.items_by_key[row["key"]] = item
            self._history.append(item)
            for notify in self.on_change:
                notify(row["key"], base64.b64decode(row["value"]))
        for key in deletes:
            if self.items_by_key.pop(key, None) is not None:
                event = {"key": key, "revision": self.revision, "deleted": True}
                self._history.append(event)
        for watch in list(self._watches):
            self._answer_watch(watch, False)

    def _handle_lease(self, arrival, path):
        now = self._world.now
        if path == names.STORE_LEASE_PATH:
            self._next_lease += 1
            ttl_s = arrival.body["ttlMs"] / 1000.0
            self._leases[self._next_lease] = [ttl_s, now + ttl_s]
            reply = {"lease": self._next_lease, "ttlMs": arrival.body["ttlMs"]}
            arrival.respond(200, reply)
            return
        lease = int(path.rpartition("/")[2])
        if lease not in self._leases:
            arrival.respond(404, {})
        elif path.startswith(names.STORE_KEEP_PATH):
            self._leases[lease][1] = now + self._leases[lease][0]
            arrival.respond(200, {})
        else:
            self._end_lease(lease)
            arrival.respond(200, {})

    # Changes by time, by workers and by the operator.

    def stop_until(self, until, refuses, pauses_leases):
        """Takes the store down until a time."""
        if pauses_leases:
            for lease in self._leases.values():
                lease[1] += until - self._world.now
        self.down_until, self.refuses_when_down = until, refuses

    def _expire_leases(self):
        for lease, (_, until) in list(self._leases.items()):
            if until <= self._world.now:
                self._end_lease(lease)

    def _end_lease(self, lease):
        del self._leases[lease]
        keys = [
            key for key, item in self.items_by_key.items() if item["lease"] == lease
        ]
        if keys:
            self._apply((), keys)

    def put(self, key, value):
        """Writes a key for the operator or a worker."""
        encoded = base64.b64encode(value).decode()
        self._apply([{"key": key, "value": encoded}], ())

    def register(self, worker_id, entry):
        """Takes a worker's heartbeat, unless the store is down."""
        if self._world.now < self.down_until:
            return
        key = names.WORKERS_PREFIX + worker_id
        self._heard_at[key] = self._world.now
        value = msgspec.json.encode(entry)
        item = self.items_by_key.get(key)
        if item is None or base64.b64decode(item["value"]) != value:
            self.put(key, value)

    def keep_registered(self, worker_id):
        """Keeps a listed registration for as long as a heartbeat does."""
        key = names.WORKERS_PREFIX + worker_id
        if key in self._heard_at:
            self._heard_at[key] = self._world.now

    def _expire_registrations(self):
        now = self._world.now
        if now < self.down_until:
            return
        self._expire_leases()
        for key, heard_at in list(self._heard_at.items()):
            if now - heard_at > REGISTRATION_S and now - self.down_until > 2.0:
                del self._heard_at[key]
                self._apply((), [key])
