"""Tests of the page at which metrics are scraped."""

import importlib

import pytest
import trio
import trio.testing

from pumicestand import errors
from pumicestand_node import client_port
from pumicestand_node import metrics_page
from pumicestand_node import plain_http
from tests import mock_clock


class Metrics:
    """Stands in for the metrics.

    :param page: the `Page` that counts the texts
    """

    def __init__(self, page):
        self._page = page

    def text(self):
        self._page.texts += 1
        self._page.fail('text')
        return b'metrics %d\n' % self._page.texts


class Page:
    """A page whose steps fail as told; it counts what it does.

    :param failures: for each step, the exceptions that the first tries raise
    """

    def __init__(self, **failures):
        self._failures = failures
        self.created = 0
        self.texts = 0
        self.codes = []
        self.page = metrics_page.MetricsPage(
            self._create, lambda code, error: self.codes.append(code)
        )

    def fail(self, step):
        if self._failures.get(step):
            raise self._failures[step].pop(0)

    def _create(self, module):
        self.created += 1
        self.fail('create')
        return Metrics(self)

    async def import_in_thread(self, function, *args):
        await trio.sleep(0.1)
        self.fail('import')

    async def statuses(self, count):
        """Return the statuses of scrapes at once."""
        statuses = []

        async def scrape():
            statuses.append((await self.page.respond()).status)

        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(scrape)
        return statuses


@pytest.fixture
def make_page(monkeypatch):
    def make(**failures):
        page = Page(**failures)
        monkeypatch.setattr(trio.to_thread, 'run_sync', page.import_in_thread)
        return page

    return make


def test_first_scrapes_at_once_create_the_metrics_once(make_page):
    """Each created instruments of its own, so that each text was longer."""
    page = make_page()
    assert mock_clock.run(lambda: page.statuses(8)) == [200] * 8
    assert (page.created, page.texts) == (1, 1)


def test_pipelined_scrapes_cost_one_text(make_page):
    """They took a core for good."""
    page = make_page()
    count = 1000

    async def respond(method, path, body):
        return await page.page.respond()

    async def main():
        port = client_port.ClientPort(
            plain_http.PlainHandler(respond).serve, lambda refusal: None
        )
        client, server = trio.testing.memory_stream_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(port.serve, server)
            await client.send_all(
                b'GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n' * count
            )
            data = b''
            while data.count(b'metrics 1\n') < count:
                data += await client.receive_some()
            nursery.cancel_scope.cancel()

    mock_clock.run(main)
    assert page.texts == 1


def test_text_is_rendered_again_once_it_is_old(make_page):
    page = make_page()

    async def main():
        await page.statuses(2)
        await trio.sleep(metrics_page.MAX_AGE_S)
        return (await page.page.respond()).body

    assert mock_clock.run(main) == b'metrics 2\n'


@pytest.mark.parametrize('step', ['import', 'create', 'text'])
@pytest.mark.parametrize(
    'error',
    [
        OSError(24, 'Too many open files'),
        ImportError(),
        RuntimeError("can't start new thread"),
        MemoryError(),
    ],
    ids=repr,
)
def test_scrape_that_fails_costs_one_scrape(make_page, step, error):
    page = make_page(**{step: [error]})

    async def main():
        first = await page.statuses(3)
        await trio.sleep(metrics_page.MAX_AGE_S)
        return first, await page.statuses(1)

    first, second = mock_clock.run(main)
    assert (first, second) == ([503] * 3, [200])
    assert page.codes == [errors.Code.METRICS_FAILED]


def test_scraper_that_leaves_does_not_stop_the_next_one(make_page):
    page = make_page()

    async def main():
        with trio.move_on_after(0.01):
            await page.page.respond()
        return await page.statuses(2)

    assert mock_clock.run(main) == [200, 200]
    assert (page.created, page.texts) == (1, 1)


def test_module_of_the_metrics_exists():
    module = importlib.import_module(metrics_page.MODULE)
    assert module.MeshMetrics is not None
