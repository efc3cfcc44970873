"""Measures what a node's imports take of its memory, module by module.

The last line is one JSON object, in MB.
"""

import importlib
import json

MODULES = (
    'trio',
    'capnp',
    'yaml',
    'loguru',
    'httptools',
    'pydantic',
    'pumicestand.schema',
    'httpcore',
    'hypercorn.trio',
    'opentelemetry.sdk.metrics',
    'opentelemetry.exporter.prometheus',
    'hdrh.histogram',
    'pumicestand.wire',
    'pumicestand_node.main',
)


def rss_mb():
    """Return the resident memory of this process in MB."""
    with open('/proc/self/status', encoding='ascii') as file:
        for line in file:
            if line.startswith('VmRSS'):
                return int(line.split()[1]) * 1024 / 1e6
    return 0.0


def main():
    """Import one after the other and print the growth."""
    before = rss_mb()
    grown = {'python': round(before, 1)}
    for name in MODULES:
        importlib.import_module(name)
        now = rss_mb()
        grown[name] = round(now - before, 1)
        before = now
    grown['total'] = round(before, 1)
    print(json.dumps(grown))


if __name__ == '__main__':
    main()
