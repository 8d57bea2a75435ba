"""The node: its event loop, and the parts that run in it, one file and one concern each.

- `core`: `Node`, the event loop and the calls by which everything around reaches it; `command_queue`,
  `timers` and `clock` are what it runs by.
- `decision_port` and `action_dispatcher`: events to the decision module, and the actions that it asks for.
- `sessions`: requests, attempts, answers, moves. `session` and `ports`: the interfaces to the fronts and to
  the other parts outside.
- `successor_transfer`, `session_transfer`, `restart_state`: two processes that are one node.
- `backend_list`: the list of form servers.
- `form_server_monitor`, with `message_latency` and `failure_detector`: what passes through the sessions of
  each form server. `form_server_supervisor`: what follows from it.
- `shutdown`: when clients are sent away; `draining` begins and ends that, `session_drainer` does it.
- `operator_commands`, `counters`, `status`, `queries`: operators, and what they read.
- `fleet_load`, `outlier_gossip`, `rebalancer_port`: what the nodes of a fleet exchange, and the rebalancer.
"""
