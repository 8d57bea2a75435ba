"""The node: its event loop, and the parts that run in it, with one file for each concern.

- `core`: `Node`, the event loop and the methods through which the surrounding code calls it;
  `command_queue`, `timers` and `clock` support the event loop.
- `decision_port` and `action_dispatcher`: the interface to the decision module, and the execution of the
  actions that it returns.
- `sessions`: requests, attempts, answers and moves. `session` and `ports`: the interfaces to the fronts and
  to the other parts outside the node.
- `successor_transfer`, `session_transfer`, `restart_state`: hot restart, during which two processes form one
  node.
- `backend_list`: the endpoint list, that is, the form servers as discovery reports them.
- `form_server_monitor`, with `message_latency` and `failure_detector`: observations of the sessions' traffic
  at each form server. `form_server_supervisor`: the reactions to these observations.
- `shutdown`: the plans by which clients are moved away; `draining` begins and ends them, `session_drainer`
  executes them.
- `operator_commands`, `counters`, `status`, `queries`: commands of operators, and the metrics and logs that
  they read.
- `fleet_load`, `outlier_gossip`, `rebalancer_port`: the exchange between the nodes of a fleet, and the
  rebalancer.
"""
