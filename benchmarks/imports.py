"""Measures the resident memory that each import of a node adds.

The last line of the output is one JSON object, in MB.
"""

import importlib
import json

MODULE_NAMES = (
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
    """Return the resident memory of this process, in MB."""
    with open('/proc/self/status', encoding='ascii') as file:
        for line in file:
            if line.startswith('VmRSS'):
                return int(line.split()[1]) * 1024 / 1e6
    return 0.0


def main():
    """Import the modules in order and print how much each adds."""
    previous_mb = rss_mb()
    growth_mb = {'python': round(previous_mb, 1)}
    for module_name in MODULE_NAMES:
        importlib.import_module(module_name)
        current_mb = rss_mb()
        growth_mb[module_name] = round(current_mb - previous_mb, 1)
        previous_mb = current_mb
    growth_mb['total'] = round(previous_mb, 1)
    print(json.dumps(growth_mb))


if __name__ == '__main__':
    main()
