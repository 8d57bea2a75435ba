"""How an attach frame states a request, and the error conditions with which a link is detached."""

from __future__ import annotations

import proton

# The properties by which an attach frame states a request.
KEY, GROUP, CLASS, TIME_LEFT = "sailrun:key", "sailrun:group", "sailrun:class", "sailrun:time-left-ms"
RETRY_AFTER = "sailrun:retry-after-ms"
# The error conditions with which a link is detached; docs/protocols/amqp.md lists them.
REFUSED = "amqp:resource-limit-exceeded"
FAILED = "amqp:internal-error"
MOVED = "amqp:link:detach-forced"
BAD_REQUEST = "amqp:invalid-field"
# An attach with this terminus refuses the link.
NO_TERMINUS = proton.Terminus.UNSPECIFIED
