"""Named signals between the parts of a process."""

import blinker

# Sent by the blackboard with an `events.Event`; the log listens.
event_emitted = blinker.signal('event-emitted')
# Sent by the call path with a `calls.Finished`; the metrics listen.
call_finished = blinker.signal('call-finished')
# Sent by the call path with a `refusals.Refusal`; the metrics listen.
call_refused = blinker.signal('call-refused')
# Sent by the conductor when another document came into force.
document_in_force = blinker.signal('document-in-force')
