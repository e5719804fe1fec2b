"""Fencing tokens that rise with each incarnation of a worker.

A worker that starts again under its id has seen no token, and calls name its id only. A
call that is carried out late would act on the new incarnation, unless that one has seen
a higher token than the call carries.
"""

import logging

from returns.result import Failure
from tornado import gen
from tornado.ioloop import IOLoop

from sassafrasgrade.errors import RevisionConflict
from sassafrasgrade.member_records import FENCE_KEY, LEADER_KEY
from sassafrasgrade.platform.stores import Put

logger = logging.getLogger(__name__)

# Pause before a failed write is retried, in seconds.
RETRY_S = 0.15


class WorkerFences:
    """Tokens of one leader's calls to workers.

    The revision of a write under the condition that this node leads is higher than the
    revision of the leader's key and lower than that of a successor's. Calls carry the
    last such revision, so that a worker refuses those that later ones have overtaken.

    Args:
        store: ``StoreClient``.
        token: Fencing token of the leadership.
        on_raised: Called with a worker's id once its calls carry a higher token.
        on_fenced: Called when another node is leader.
    """

    def __init__(self, store, token, on_raised, on_fenced):
        self._store = store
        self._leader_token = self.token = token
        self._on_raised = on_raised
        self._on_fenced = on_fenced
        # Tokens that the next ones of waiting workers must exceed.
        self._used_by_waiting_id = {}
        self._is_writing = False
        self._is_closed = False

    def raise_token(self, worker_id):
        """Raises the token of calls to a worker above all that it has been sent."""
        self._used_by_waiting_id[worker_id] = self.token
        if not self._is_writing:
            self._is_writing = True
            IOLoop.current().add_callback(self._write_until_raised)

    def record_write(self, revision):
        """Records the revision of a write under the condition that this node leads."""
        self.token = max(self.token, revision)
        for worker_id, used in list(self._used_by_waiting_id.items()):
            if self.token > used:
                del self._used_by_waiting_id[worker_id]
                self._on_raised(worker_id)

    def renew(self, token):
        """Continues under a new token of the leadership."""
        self._leader_token = token
        self.record_write(token)

    def close(self):
        """Stops writing."""
        self._is_closed = True

    async def _write_until_raised(self):
        try:
            while self._used_by_waiting_id and not self._is_closed:
                if not await self._write():
                    await self.pause_before_retry()
        finally:
            self._is_writing = False

    async def pause_before_retry(self):
        """Waits before a failed write is retried."""
        await gen.sleep(RETRY_S)

    async def _write(self):
        put = Put(FENCE_KEY, " ".join(self._used_by_waiting_id).encode())
        result = await self._store.commit([(LEADER_KEY, self._leader_token)], [put])
        if not isinstance(result, Failure):
            self.record_write(result.unwrap())
            return True
        error = result.failure()
        logger.warning(
            "worker tokens not raised",
            extra={"workers": len(self._used_by_waiting_id), "error": error.kind},
        )
        if isinstance(error, RevisionConflict) and not self._is_closed:
            items = {item.key: item.revision for item in error.items}
            if items.get(LEADER_KEY, 0) > self._leader_token:
                self._on_fenced()
        return False
