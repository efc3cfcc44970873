"""Names the modules that a node imports before it is ready.

Each further module adds to the processor time and the memory of every start,
and after the loss of all nodes callers wait for the starts. A module that is
needed later can be imported at its first use.
"""

import os
import pathlib
import sys

import trio

from benchmarks import harness
import pumicestand
import pumicestand_node
from pumicestand_standins import http_server
from pumicestand_standins import objects
from soak import clusters

OWN = """
pumicestand pumicestand.admission_by_room
pumicestand.body_transfers pumicestand.buffer_budget pumicestand.call_headers
pumicestand.client_progress
pumicestand.coldness pumicestand.connection_trust pumicestand.decision_log
pumicestand.descriptor_budget
pumicestand.evacuations pumicestand.fair_shares
pumicestand.documents pumicestand.errors pumicestand.fetches
pumicestand.field_reading pumicestand.fingerprints pumicestand.fleet
pumicestand.frame_compression
pumicestand.freshness
pumicestand.hop pumicestand.hop_messages pumicestand.http_pool
pumicestand.json_reading
pumicestand.latencies pumicestand.line_output pumicestand.link_meter
pumicestand.link_probes
pumicestand.link_resumption pumicestand.link_selection pumicestand.log
pumicestand.log_throttle
pumicestand.node_records
pumicestand.organisations
pumicestand.placing pumicestand.probing
pumicestand.quota_buckets
pumicestand.quota_coordination pumicestand.quota_fleet pumicestand.quotas
pumicestand.ranking pumicestand.rate_limits
pumicestand.refusals pumicestand.regressions pumicestand.reporting
pumicestand.return_times
pumicestand.response_buffers pumicestand.response_heads
pumicestand.retry_quota pumicestand.rollouts
pumicestand.routing pumicestand.shutdown
pumicestand.store_calls pumicestand.stored_objects
pumicestand.suspects pumicestand.target_queue pumicestand.target_states
pumicestand.targets pumicestand.tcp_options pumicestand.tcp_streams
pumicestand.turn_budget
pumicestand.zone_roles pumicestand.zone_summaries
pumicestand_node pumicestand_node.allocator
pumicestand_node.body_buffers pumicestand_node.body_receiver
pumicestand_node.call_access pumicestand_node.client_connections
pumicestand_node.client_port pumicestand_node.client_requests
pumicestand_node.descriptors
pumicestand_node.frame_streams
pumicestand_node.freshness_agent
pumicestand_node.header_lines
pumicestand_node.heads pumicestand_node.link_server pumicestand_node.links
pumicestand_node.listeners pumicestand_node.mesh_links
pumicestand_node.mesh_node pumicestand_node.mesh_records
pumicestand_node.mesh_settings
pumicestand_node.mesh_state pumicestand_node.mesh_store
pumicestand_node.metrics_page
pumicestand_node.outbound_call pumicestand_node.outbound_calls
pumicestand_node.plain_http pumicestand_node.port_usage
pumicestand_node.quota_agent
pumicestand_node.socket_io
pumicestand_node.store_access pumicestand_node.supervision
pumicestand_node.target_calls
pumicestand_node.target_exchange pumicestand_node.target_responses
pumicestand_node.unidentified_links
pumicestand_platform pumicestand_platform.configuration
pumicestand_platform.configuration_fields pumicestand_platform.control
pumicestand_platform.generated_code pumicestand_platform.headers
pumicestand_platform.late_modules pumicestand_platform.main
pumicestand_platform.objects pumicestand_platform.settings
"""
LIBRARIES = """
attr attrs capnp hdrh httptools idna outcome pyhdrh sniffio sortedcontainers
trio
"""
# Of asyncio only the module with a base class of pycapnp.
STANDARD_LIBRARY = """
abc array ast asyncio.protocols atexit base64 binascii bisect bz2 codecs
collections contextlib contextvars copy copyreg ctypes dataclasses datetime dis
encodings
enum errno fcntl fnmatch functools gc genericpath hashlib heapq hmac importlib
inspect io ipaddress itertools json keyword linecache locale logging lzma
marshal math ntpath opcode operator os pathlib platform posix posixpath queue
random re reprlib resource select selectors shutil signal socket stat string
struct subprocess tempfile textwrap threading time token tokenize traceback
types typing unicodedata urllib urllib.parse warnings weakref zipimport zlib
"""
# Modules of other systems, which the standard library looks for in vain.
ABSENT = 'msvcrt nt org org.python org.python.core'
IMPORT_PREFIX = 'import time:'


def read_imported(log):
    """Return the names of the modules that ``-X importtime`` lists."""
    lines = log.read_text(encoding='utf-8').splitlines()
    names = {
        line.rpartition('|')[2].strip()
        for line in lines
        if line.startswith(IMPORT_PREFIX)
    }
    return names - {'imported package'}


def is_allowed(name):
    package = name.partition('.')[0]
    if package.startswith('pumicestand'):
        return name in OWN.split()
    # Private modules belong to others or are part of the interpreter.
    return (
        package.startswith('_')
        or package in LIBRARIES.split()
        or name in STANDARD_LIBRARY.split()
        or name in ABSENT.split()
        or (package != 'asyncio' and package in STANDARD_LIBRARY.split())
    )


# Without the site packages' start files, the packages of the workspace have
# to be named.
PACKAGE_PATHS = [
    str(pathlib.Path(package.__file__).parents[1])
    for package in (pumicestand, pumicestand_node)
]


async def start_node(folder):
    """Start a node until it is ready; return the modules it has imported."""
    network = clusters.LoopbackNetwork()
    network.start()
    node = clusters.NodeUnderTest(0, network.number, folder)
    store = objects.ObjectStore()
    store.put('config', 'main', clusters.make_configuration(1))
    store_address = (f'127.{network.number}.0.2', clusters.STORE_PORT)
    server = http_server.Server(*store_address, store.handle)
    async with trio.open_nursery() as nursery:
        await server.start(nursery)
        await node.store_proxy.start(nursery)
        await node.target_proxy.start(nursery)
        await node.target.start(nursery)
        node.process = harness.Process(
            node.name,
            [
                *('-S', '-X', 'importtime'),
                str(clusters.ROOT / 'platform' / 'node.py'),
            ],
            folder / 'node.log',
            {
                'PUMICESTAND_SETTINGS': str(node.write_settings('start')),
                'PYTHONPATH': os.pathsep.join([*PACKAGE_PATHS, *sys.path]),
            },
        )
        try:
            await node.wait_until_ready()
        finally:
            node.kill()
            network.close()
        nursery.cancel_scope.cancel()
    return read_imported(folder / 'node.log')


def test_no_other_module_is_imported_before_readiness(tmp_path):
    imported = trio.run(start_node, pathlib.Path(tmp_path))
    assert {name for name in imported if not is_allowed(name)} == set()
    # The node has come as far as to handle configuration and heartbeats.
    assert set(OWN.split()) <= imported
