"""Writes documents to the stand-in store, without the command line."""

import json

import httpcore

from pumicestand import documents
from pumicestand import readers
from pumicestand import records
from pumicestand import watching


def put(store, environment, text, generation=1, version=0):
    """Write a document as the accepted one.

    :param store: a `harness.StoreProcess`
    :param text: the document as YAML
    :param version: version of the object to replace, 0 if there is none
    :returns: the new version of the object
    :raises OSError: if the store rejects the write
    """
    _, content = readers.read_yaml(text)
    record = records.DocumentRecord(
        generation=generation,
        change_id=f'benchmark-{generation}',
        digest=documents.content_digest(content),
        previous=generation - 1,
        origin='benchmark',
        content=content.decode(),
    )
    key = watching.document_key(environment)
    body = records.to_json(record).encode()
    response = httpcore.request(
        'PUT',
        f'{store.url}/v1/objects/{key}',
        headers={
            'host': 'store',
            'if-match': str(version),
            'content-length': str(len(body)),
        },
        content=body,
    )
    if response.status != 200:
        raise OSError(
            f'the store answered the write of {key} with status '
            f'{response.status}'
        )
    return json.loads(response.content)['version']
