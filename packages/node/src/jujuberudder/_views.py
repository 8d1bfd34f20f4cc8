"""Views of a node for operators, by path."""

from jujuberudder_core import explain_view, nodes_view, owners_view, sections_view

from ._metrics import metrics_view


def make_views(core, context):
    """Return the views of a node.

    Parameters
    ----------
    core : NodeCore
    context : RouteContext
        Must use the same sections as the views, so that a reported version is the
        version used for requests.

    Returns
    -------
    views : dict of str to callable
        By path; each takes the query parameters and returns the response content.
    """

    def explain(query):
        service, key = query["service"], query["key"]
        return explain_view(core.ownership, core.sections, service, key)

    return {
        "/v1/status": lambda query: _status(core, context),
        "/v1/owners": lambda query: owners_view(core.ownership),
        "/v1/sections": lambda query: _sections_in_force(core),
        "/v1/nodes": lambda query: nodes_view(core.ownership),
        "/v1/explain": explain,
        "/metrics": metrics_view(core),
    }


def _sections_in_force(core):
    """Return the sections in force and the position up to which they were read."""
    return {"position": core.sections_read(), "sections": sections_view(core.sections)}


def _status(core, context):
    settings, local = core.settings, core.local_incarnation
    return {
        "deployment": settings.deployment,
        "node": settings.node,
        "availability_zone": settings.availability_zone,
        "service": settings.service,
        "log_address": settings.log_address,
        "log_failing": any(follower.failing for follower in core.followers),
        "incarnation": local.incarnation if local else None,
        "lease_held": bool(local and local.holds_lease()),
        "target_up": context.health.up,
        "sections": {n: s.version for n, s in context.sections.all.items()},
        "sections_rejected": context.sections.rejected,
        "slots_used": context.admission.used,
        "queue_waiting": context.admission.waiting,
    }
