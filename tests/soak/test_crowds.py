"""Tests of a real node that meets clients which stop short.

The bound on memory comes from the platform's pages: a process that exceeds
``memory_mb`` is killed, and bytes that have been received and not yet read
count toward it. The one on descriptors is ``max_fds``. An ordinary client is
answered afterwards, while the crowd keeps its connections.
"""

import pytest
import trio

from soak import crowds

SHORT_LINE = b'a:\r\n'
GET = ('GET', '/r/x')
UPLOAD = ('POST', '/u/x')
CHUNKED = b'transfer-encoding: chunked'


def check(crowd, tmp_path, method='GET', path='/r/x', body=b'', **stage):
    """Have a node meet a crowd; check its process and an ordinary call."""
    responses = []

    async def act(stage, nursery):
        await stage.meet(crowd, nursery)
        responses.append(
            await crowds.call(stage.node.outbound_address, method, path, body)
        )

    stage = crowds.Stage(tmp_path, **stage)
    gauges = trio.run(stage.play, act)
    assert stage.findings == []
    for gauge in gauges:
        assert gauge.memory <= stage.memory_mb * 2**20
        assert gauge.descriptors <= stage.max_fds
    assert responses[0].status == 200


def length_line(count):
    return b'content-length: %d' % count


def make_chunks(data, count):
    return (b'%x\r\n' % len(data) + data + b'\r\n') * count


def split(data, size):
    return tuple(data[i : i + size] for i in range(0, len(data), size))


# Heads


@pytest.mark.parametrize(
    'line',
    [
        SHORT_LINE,
        b'a:b\r\n',
        b'Connection: a,b,c,d\r\n',
        b'x' * 1_000 + b':\r\n',
        b'cookie: ' + b'v' * 4_000 + b'\r\n',
    ],
    ids=['empty', 'short', 'options', 'long-name', 'long-value'],
)
@pytest.mark.parametrize('end', [b'', b'\r\n'], ids=['cut', 'whole'])
def test_heads_of_many_lines(line, end, tmp_path):
    head = crowds.fill_head(crowds.format_head(*GET), line)
    check(crowds.Crowd(400, (head + end,)), tmp_path)


def test_heads_in_pieces(tmp_path):
    head = crowds.fill_head(crowds.format_head(*GET), SHORT_LINE)
    check(crowds.Crowd(200, split(head, 64)), tmp_path)


def test_heads_behind_heads(tmp_path):
    head = crowds.fill_head(crowds.format_head(*GET), SHORT_LINE)
    check(crowds.Crowd(80, ((head + b'\r\n') * 16,)), tmp_path)


def test_calls_whose_responses_are_not_read(tmp_path):
    call = crowds.format_head(*GET) + b'\r\n'
    check(crowds.Crowd(400, (call * 50,)), tmp_path)


# Bodies with a length


@pytest.mark.parametrize('size', [16_000, 300_000, crowds.MAX_BODY_BYTES])
def test_bodies_that_stop_short(size, tmp_path):
    head = crowds.format_head(*UPLOAD, length_line(size)) + b'\r\n'
    body = b'x' * (size - 1)
    check(crowds.Crowd(600, (head, body)), tmp_path)


def test_bodies_in_pieces(tmp_path):
    head = crowds.format_head(*UPLOAD, length_line(16_000)) + b'\r\n'
    pieces = split(b'x' * 15_999, 50)
    check(crowds.Crowd(200, (head, *pieces)), tmp_path)


def test_bodies_that_are_only_announced_do_not_keep_out_uploads(tmp_path):
    head = crowds.format_head(*UPLOAD, length_line(1_000_000)) + b'\r\n'
    crowd = crowds.Crowd(100, (head, b'x'))
    check(crowd, tmp_path, *UPLOAD, b'y' * 500_000)


def test_bodies_that_drip_do_not_keep_out_uploads(tmp_path):
    head = crowds.format_head(*UPLOAD, length_line(1_000_000)) + b'\r\n'
    crowd = crowds.Crowd(100, (head, *(b'x' for _ in range(600))), 0.1)

    async def act(stage, nursery):
        address = stage.node.outbound_address
        nursery.start_soon(crowd.run, address, nursery)
        await crowds.wait_until_quiet(stage.node.process)
        response = await crowds.call(address, *UPLOAD, b'y' * 500_000)
        assert response.status == 200

    stage = crowds.Stage(tmp_path)
    trio.run(stage.play, act)
    assert stage.findings == []


def test_uploads_that_wait_for_slow_targets(tmp_path):
    # Ten bodies of the largest size may be under way from each of five nodes
    # to the two that serve them.
    size = crowds.MAX_BODY_BYTES
    head = crowds.format_head(*UPLOAD, length_line(size)) + b'\r\n'
    crowd = crowds.Crowd(12, (head, b'x' * size))

    async def act(stage, nursery):
        nodes = stage.cluster.nodes
        for node in nodes:
            node.target.behaviour.work_s = 5.0
        async with trio.open_nursery() as sending:
            for node in nodes:
                sending.start_soon(crowd.run, node.outbound_address, nursery)
        for node in nodes:
            await crowds.wait_until_quiet(node.process)
            node.target.behaviour.work_s = 0.02
        response = await crowds.call(stage.node.outbound_address, *GET)
        assert response.status == 200

    stage = crowds.Stage(tmp_path, node_count=6)
    gauges = trio.run(stage.play, act)
    assert stage.findings == []
    assert all(g.memory <= stage.memory_mb * 2**20 for g in gauges)


# Bodies in chunks


@pytest.mark.parametrize(
    ('data', 'count', 'size'),
    [
        (b'x', 60_000, 200),
        (b'xy', 30_000, 200),
        (b'x' * 8, 12_000, 200),
        (b'x' * 1_000, 90, 200),
        (b'x' * 100_000, 9, 200),
    ],
    ids=['1', '2', '8', '1000', '100000'],
)
def test_chunks_that_stop_short(data, count, size, tmp_path):
    head = crowds.format_head(*UPLOAD, CHUNKED) + b'\r\n'
    # The last chunk lacks its end.
    body = make_chunks(data, count)[:-3]
    check(crowds.Crowd(size, (head, body)), tmp_path)


def test_chunk_that_is_announced_and_stops_short(tmp_path):
    head = crowds.format_head(*UPLOAD, CHUNKED) + b'\r\n'
    body = b'%x\r\n' % 900_000 + b'x' * 899_999
    check(crowds.Crowd(200, (head, body)), tmp_path)


def test_trailers_of_many_lines(tmp_path):
    head = crowds.format_head(*UPLOAD, CHUNKED) + b'\r\n'
    body = b'1\r\nx\r\n0\r\n' + SHORT_LINE * 4_000
    check(crowds.Crowd(200, (head, body)), tmp_path)


# Other ways in


@pytest.mark.parametrize('index', range(4))
def test_other_ports(index, tmp_path):
    head = crowds.fill_head(crowds.format_head(*GET), SHORT_LINE)
    frame = (3_900_000).to_bytes(4, 'big') + b'x' * 3_899_999

    async def act(stage, nursery):
        address = stage.node.other_addresses[index]
        for piece in (head, frame):
            await crowds.Crowd(100, (piece,)).run(address, nursery)
        await crowds.wait_until_quiet(stage.node.process)
        response = await crowds.call(stage.node.outbound_address, *GET)
        assert response.status == 200

    stage = crowds.Stage(tmp_path)
    gauges = trio.run(stage.play, act)
    assert stage.findings == []
    assert gauges[0].memory <= stage.memory_mb * 2**20
    assert gauges[0].descriptors <= stage.max_fds


# What is inside the limits is served


def test_single_request_of_many_lines_is_served(tmp_path):
    count = 3_900
    lines = [(f'a{number}', '') for number in range(count // 4)]

    async def act(stage, nursery):
        response = await crowds.call(
            stage.node.outbound_address, *GET, lines=lines
        )
        assert response.status == 200

    trio.run(crowds.Stage(tmp_path).play, act)
