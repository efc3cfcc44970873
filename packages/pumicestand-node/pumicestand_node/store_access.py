"""Whether the platform's store can be reached, and when to try again."""

import trio

from pumicestand import errors

MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.5

STORE_ERRORS = (
    errors.StoreUnavailableError,
    errors.StoreResponseLostError,
    errors.StoreRejectedError,
    errors.WatchExpiredError,
)


class StoreAccess:
    """Records whether calls to the store succeed and paces retries.

    The silence of connections that were opened before a call says nothing of
    the store: the next call, on a new connection, shows whether it can be
    reached.

    :param mesh: `mesh_state.MeshState` of this node
    :param client: the platform adapter's client of the store
    :param rng: `random.Random`
    :param on_change: called when the other nodes should receive a report
    """

    def __init__(self, mesh, client, rng, on_change):
        self._mesh = mesh
        self._client = client
        self._rng = rng
        self._on_change = on_change

    def set_reachable(self, is_reachable, error=None):
        """Record the outcome of a call; report and log a change."""
        mesh = self._mesh
        if mesh.store_reachable == is_reachable:
            return
        mesh.store_reachable = is_reachable
        mesh.decisions.note(
            'store-regained' if is_reachable else 'store-lost',
            why=str(error) if error else '',
        )
        self._on_change()

    def record_failure(self, error):
        """Record that the store can't be reached, if the call shows that."""
        if not self._client.is_only_old_silent:
            self.set_reachable(False, error)

    async def back_off(self, backoff):
        """Sleep for about a delay in seconds; return the next delay.

        A delay that is left out is added to the next one, so that a store that
        does not answer is not asked more often.
        """
        if self._client.is_only_old_silent:
            return min(MAX_BACKOFF_S, backoff * 3)
        await trio.sleep(backoff * (0.5 + self._rng.random()))
        return min(MAX_BACKOFF_S, backoff * 2)
