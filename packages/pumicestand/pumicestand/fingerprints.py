"""Fingerprints by which requests that crash targets are recognised."""

import hashlib


def request_fingerprint(method, route, path, body):
    """Return the 64-bit fingerprint of a request as an integer.

    :param method: HTTP method
    :param route: name of the route
    :param path: path with the query
    :param body: body, or its first bytes and its length, as bytes
    """
    digest = hashlib.blake2b(digest_size=8)
    for part in (method.encode(), route.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return int.from_bytes(digest.digest())


def call_fingerprint(call):
    """Return the fingerprint of a call between two nodes.

    :param call: object with `method`, `service`, `url` and `body`, of which
        the last two are bytes
    """
    url = call.url.decode('latin-1')
    return request_fingerprint(call.method, call.service, url, call.body)
