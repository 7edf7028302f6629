"""Routes for operators: health, readiness, status, metrics, drain."""

from carawaysail_entry.front import encode, routes, task_bridge


@routes.routes.register("GET /healthz")
def health(desk: task_bridge.Door, call: routes.Call) -> routes.Response:
    """Tell that the process answers."""
    return encode.json({"healthy": True})


@routes.routes.register("GET /readyz")
def readiness(desk: task_bridge.Door, call: routes.Call) -> routes.Response:
    """Tell whether the balancer should send new work here."""
    ready = desk.is_ready()
    return encode.json({"ready": ready}, 200 if ready else 503)


@routes.routes.register("GET /v1/status")
def status(desk: task_bridge.Door, call: routes.Call) -> routes.Response:
    """Tell everything an operator asks of one daemon."""
    described = desk.describe()
    return encode.json(
        {
            "owner": str(desk.owner()),
            "ready": desk.is_ready(),
            "settings": desk.settings_state(),
            "members": [
                {**record._asdict(), "alive": alive} for record, alive in desk.members()
            ],
            "dispatch": described._asdict() if described else None,
            "traffic": desk.traffic(),
        }
    )


@routes.routes.register("GET /v1/settings")
def settings(desk: task_bridge.Door, call: routes.Call) -> routes.Response:
    """Give the tree in force and its revisions."""
    state = desk.settings_state()
    return encode.json({"tree": desk.effective().cfg, **state})


@routes.routes.register("POST /v1/drain")
def drain(desk: task_bridge.Door, call: routes.Call) -> routes.Response:
    """End this daemon gracefully, as SIGTERM does."""
    desk.drain_asked.set()
    return encode.json({"draining": True}, 202)


@routes.routes.register("GET /metrics")
def metrics(desk: task_bridge.Door, call: routes.Call) -> routes.Response:
    """Give the metrics in the text format of Prometheus."""
    described = desk.describe()
    if described is not None:
        desk.meters.observe(described, desk.traffic())
    body, content_type = desk.meters.render()
    return routes.Response(200, body, content_type)
