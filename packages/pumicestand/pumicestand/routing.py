"""Choice of the route and the service of each call."""


class RouteTable:
    """Matches calls to the routes of one document.

    :param document: the `documents.Document`
    """

    def __init__(self, document):
        self._by_host = {}
        for route in document.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            # The longest path goes first. Of two routes with paths of the
            # same length, the one restricted to some methods goes first.
            routes.sort(key=lambda r: (-len(r.path), not r.methods))

    def match(self, host, path, method):
        """Return the route of a call, or None.

        :param host: Host header without the port, in lower case
        :param path: path without the query
        :param method: HTTP method
        """
        for key in (host, '*'):
            for route in self._by_host.get(key, ()):
                if route.methods and method not in route.methods:
                    continue
                if _covers(route.path, path):
                    return route
        return None


def _covers(prefix, path):
    """Return whether a path starts with all segments of a prefix.

    >>> _covers('/passes', '/passes/7'), _covers('/passes', '/passes2')
    (True, False)
    """
    if prefix == '/':
        return True
    if not path.startswith(prefix):
        return False
    rest = path[len(prefix) :]
    return not rest or rest[0] == '/' or prefix.endswith('/')


class WeightedPicker:
    """Picks backends by smooth weighted round robin.

    Calls follow the weights even in short sequences.
    """

    def __init__(self):
        self._credits = {}

    def pick(self, backends):
        """Return one of several `documents.Backend`s."""
        if len(backends) == 1:
            return backends[0]
        total = 0
        for backend in backends:
            total += backend.weight
            credit = self._credits.get(backend.service, 0)
            self._credits[backend.service] = credit + backend.weight
        best = max(backends, key=lambda b: self._credits[b.service])
        self._credits[best.service] -= total
        return best
