"""Signals that decouple the parts of a process."""

import blinker

# Sent by the blackboard with an `events.Event`, for logs and metrics.
event_emitted = blinker.signal('event-emitted')
# Sent by the call path with a `calls.FinishedCall`, for the metrics.
call_finished = blinker.signal('call-finished')
# Sent by the call path with a `refusals.Refusal`, for the metrics.
call_refused = blinker.signal('call-refused')
# Sent by the conductor when another document has come into force.
document_in_force = blinker.signal('document-in-force')
