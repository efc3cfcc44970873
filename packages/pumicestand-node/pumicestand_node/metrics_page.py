"""The page at which the metrics of a node are scraped."""

import importlib

import trio

from pumicestand import errors
from pumicestand_node import plain_http

# Importing the exporter takes as long as an eighth of a start, so it is left
# to the first scrape.
MODULE = 'pumicestand_node.mesh_metrics'
# Age up to which a text is sent again, and time between tries that failed.
MAX_AGE_S = 1.0


class MetricsPage:
    """Creates the metrics at the first scrape and renders their text.

    However many scrapers ask at once, the metrics are created once and the
    text is rendered once in `MAX_AGE_S`.

    :param create: returns the metrics; called with the module that defines
        them
    :param on_failure: called with the `errors.Code` and the exception if there
        is no text
    """

    def __init__(self, create, on_failure):
        self._create = create
        self._on_failure = on_failure
        self._metrics = None
        self._lock = trio.Lock()
        self._response = None
        self._made_at = float('-inf')

    async def respond(self):
        """Return a `plain_http.PlainResponse` with the metrics, or 503."""
        async with self._lock:
            if trio.current_time() - self._made_at >= MAX_AGE_S:
                self._response = await self._make_response()
                self._made_at = trio.current_time()
            return self._response

    async def _make_response(self):
        try:
            if self._metrics is None:
                module = await trio.to_thread.run_sync(
                    importlib.import_module, MODULE
                )
                self._metrics = self._create(module)
            text = self._metrics.text()
        except Exception as error:
            self._on_failure(errors.Code.METRICS_FAILED, error)
            return plain_http.PlainResponse(503, b'no metrics\n')
        return plain_http.PlainResponse(200, text)
