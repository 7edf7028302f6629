"""Routes for operators: health, readiness, status, settings, drain, metrics."""

from carawaysail_entry.front import encode, routes, task_bridge


@routes.routes.register("GET /healthz")
def health(bridge: task_bridge.TaskBridge, req: routes.HttpRequest) -> routes.Response:
    """Return 200 while the process answers."""
    return encode.json_response({"healthy": True})


@routes.routes.register("GET /readyz")
def readiness(
    bridge: task_bridge.TaskBridge, req: routes.HttpRequest
) -> routes.Response:
    """Return 200 if a load balancer should send new work here, else 503."""
    ready = bridge.is_ready()
    return encode.json_response({"ready": ready}, 200 if ready else 503)


@routes.routes.register("GET /v1/status")
def status(bridge: task_bridge.TaskBridge, req: routes.HttpRequest) -> routes.Response:
    """Return the state of this daemon: membership, settings, dispatcher, traffic."""
    described = bridge.describe()
    return encode.json_response(
        {
            "owner": str(bridge.owner()),
            "ready": bridge.is_ready(),
            "settings": bridge.settings_state(),
            "members": [
                {**record._asdict(), "alive": alive}
                for record, alive in bridge.members()
            ],
            "dispatch": described._asdict() if described else None,
            "traffic": bridge.traffic(),
        }
    )


@routes.routes.register("GET /v1/settings")
def settings(
    bridge: task_bridge.TaskBridge, req: routes.HttpRequest
) -> routes.Response:
    """Return the tree of settings in force and its revisions."""
    state = bridge.settings_state()
    return encode.json_response({"tree": bridge.effective_settings().cfg, **state})


@routes.routes.register("POST /v1/drain")
def drain(bridge: task_bridge.TaskBridge, req: routes.HttpRequest) -> routes.Response:
    """Start a graceful shutdown, as SIGTERM does."""
    bridge.drain_requested.set()
    return encode.json_response({"draining": True}, 202)


@routes.routes.register("GET /metrics")
def metrics(bridge: task_bridge.TaskBridge, req: routes.HttpRequest) -> routes.Response:
    """Return the metrics in the Prometheus text format."""
    described = bridge.describe()
    if described is not None:
        bridge.metrics.update_gauges(described, bridge.traffic())
    body, content_type = bridge.metrics.render()
    return routes.Response(200, body, content_type)
