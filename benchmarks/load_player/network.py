"""The links of the VMs, on which bodies take time."""

from pumicestand import link_meter

# Messages up to this size overtake larger ones, since those are sent in parts.
PART_BYTES = 2000


class Link:
    """A VM's link; bodies are sent one after the other in each direction.

    :param rate: bytes per second
    """

    def __init__(self, rate):
        self.rate = rate
        self.meter = link_meter.LinkMeter(rate)
        self._sent_at = 0.0
        self._received_at = 0.0

    def send(self, size, now):
        """Return the time at which a message has been sent."""
        self.meter.record_sent(size, now)
        if size <= PART_BYTES:
            return now + size / self.rate
        self._sent_at = max(now, self._sent_at) + size / self.rate
        return self._sent_at

    def receive(self, size, first_at, now):
        """Return the time at which a message has been received.

        :param first_at: time at which its first byte arrived
        :param now: time at which its last byte could arrive at the earliest
        """
        self.meter.record_received(size, now)
        if size <= PART_BYTES:
            return now
        start = max(first_at, self._received_at)
        self._received_at = max(now, start + size / self.rate)
        return self._received_at


class Network:
    """Carries messages between nodes.

    :param events: the `event_queue.EventQueue`
    :param settings: the `deployments.Network`
    """

    def __init__(self, events, settings):
        self._events = events
        self._zone_delay_s = settings.zone_rtt_ms / 2000
        self._cross_zone_delay_s = settings.cross_zone_rtt_ms / 2000

    def delay_s(self, sender, receiver):
        """Return the time that a short message takes, in seconds."""
        if sender.zone == receiver.zone:
            return self._zone_delay_s
        return self._cross_zone_delay_s

    def send(self, sender, receiver, size, function, *arguments):
        """Call a function once the receiver has a message of a size."""
        if sender is receiver:
            self._events.call_after(0.0, function, *arguments)
            return
        sent_at = sender.link.send(size, self._events.now)
        delay_s = self.delay_s(sender, receiver)
        first_at = sent_at - size / sender.link.rate + delay_s
        self._events.call_at(
            sent_at + delay_s,
            self._receive,
            receiver,
            size,
            first_at,
            function,
            arguments,
        )

    def _receive(self, receiver, size, first_at, function, arguments):
        received_at = receiver.link.receive(size, first_at, self._events.now)
        self._events.call_at(received_at, function, *arguments)
