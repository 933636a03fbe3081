"""Commands of ctl for nodes and servers."""

import json
from typing import Annotated, Any, NoReturn

import typer
from google.protobuf import json_format, message
from returns.result import Failure

from egretlever.admin import FleetAnswer, ask_fleet, order_server
from egretlever.core import Address
from egretlever.programs._ctl_common import (
    CtlContext,
    ExitCode,
    exit_with,
    render_table,
    run_on_loop,
)
from egretlever.schema import admin_pb2, gossip_pb2
from egretlever.settings import parse_address
from egretlever.transport import ExchangeFailure

server_app = typer.Typer(
    no_args_is_help=True, help="Take servers out of service and return them."
)

_Json = Annotated[bool, typer.Option("--json", help="Print JSON.")]
_Server = Annotated[str, typer.Argument(help="Name of the server.")]
_NODE_HEADER = (
    "node",
    "state",
    "region",
    "failure domain",
    "host",
    "traffic",
    "admin",
    "servers",
)
_SERVER_HEADER = (
    "server",
    "service",
    "state",
    "health",
    "weight",
    "held by floor",
    "node",
    "orphaned",
)
_SUCCESSES = {
    admin_pb2.STOPPED_NOW: "gets no new work from now on",
    admin_pb2.ALREADY_STOPPED: "was leaving already",
    admin_pb2.STARTED_NOW: "is returned to service",
}
_REFUSALS = {
    admin_pb2.UNKNOWN_SERVER: "has not announced itself there",
    admin_pb2.NOT_STOPPED_HERE: "is not stopped",
    admin_pb2.LEAVES_ITSELF: "announced its departure itself; restart it",
}


def show_nodes(context: typer.Context, as_json: _Json = False) -> None:
    """Print the nodes as one node of the settings sees them."""
    answer = _query_fleet(context.obj)
    if as_json:
        _print_json(answer, "nodes", answer.status.nodes)
        return
    rows = [
        (
            node.node,
            gossip_pb2.NodeState.Name(node.state).lower(),
            node.region,
            node.failure_domain,
            node.host,
            _format_endpoint(node.traffic),
            _format_endpoint(node.admin),
            node.servers,
        )
        for node in answer.status.nodes
    ]
    _print_source(answer)
    typer.echo(render_table(_NODE_HEADER, rows))


def show_servers(
    context: typer.Context,
    service: Annotated[
        str | None, typer.Option(help="Only servers of this service.")
    ] = None,
    as_json: _Json = False,
) -> None:
    """Print the servers as one node of the settings judges them."""
    answer = _query_fleet(context.obj)
    servers = [
        server
        for server in answer.status.servers
        if service is None or server.service == service
    ]
    if as_json:
        _print_json(answer, "servers", servers)
        return
    rows = [
        (
            server.server,
            server.service,
            gossip_pb2.ServerState.Name(server.state).lower(),
            server.health,
            f"{server.weight:.2f}",
            "yes" if server.held_by_floor else "no",
            server.node,
            "yes" if server.orphaned else "no",
        )
        for server in servers
    ]
    _print_source(answer)
    typer.echo(render_table(_SERVER_HEADER, rows))


@server_app.command()
def stop(context: typer.Context, server: _Server) -> None:
    """Begin a planned stop: the server gets no new work.

    The node on the server's host is told, also when the server itself does
    not answer. Requests in flight are finished. The process goes on running.
    """
    _send_order(context.obj, server, False)


@server_app.command()
def start(context: typer.Context, server: _Server) -> None:
    """Undo a planned stop that was asked for by ``server stop``."""
    _send_order(context.obj, server, True)


def _send_order(context: CtlContext, server: str, serve: bool) -> None:
    answer = _query_fleet(context)
    node, address = _find_home_node(answer, server)
    order = admin_pb2.ServerOrder(
        server=server, serve=serve, operator=context.load().ctl.operator
    )
    result = run_on_loop(order_server, address, order)
    if isinstance(result, Failure):
        error = result.failure()
        text = f"home node {node} at {address}: {error.message}"
        if error.failure is ExchangeFailure.NOT_CONNECTED:
            exit_with(
                ExitCode.NODES_UNREACHABLE, f"{text}; nothing was changed"
            )
        exit_with(
            ExitCode.EFFECT_UNKNOWN,
            f"{text}; repeat the command, which is idempotent",
        )
    verdict = result.unwrap().verdict
    if verdict in _REFUSALS:
        exit_with(
            ExitCode.REFUSED,
            f"refused: {server} {_REFUSALS[verdict]}, says home node {node}",
        )
    typer.echo(f"{server} {_SUCCESSES[verdict]}; home node {node} was told")


def _find_home_node(answer: FleetAnswer, server: str) -> tuple[str, Address]:
    home_nodes = {
        status.server: status.node for status in answer.status.servers
    }
    node = home_nodes.get(server)
    if node is None:
        exit_with(
            ExitCode.REFUSED,
            f"refused: node {answer.status.node} knows no server {server}",
        )
    admin_endpoints = {item.node: item.admin for item in answer.status.nodes}
    if node not in admin_endpoints:
        exit_with(
            ExitCode.NODES_UNREACHABLE,
            f"home node {node} of {server} is unknown",
        )
    return node, Address(admin_endpoints[node].ip, admin_endpoints[node].port)


def _query_fleet(context: CtlContext) -> FleetAnswer:
    texts = context.load().ctl.nodes
    if not texts:
        _exit_without_nodes("the settings name no nodes")
    answer = run_on_loop(ask_fleet, [parse_address(text) for text in texts])
    if answer is None:
        _exit_without_nodes(f"none of {', '.join(texts)} answered")
    return answer


def _exit_without_nodes(text: str) -> NoReturn:
    exit_with(ExitCode.NODES_UNREACHABLE, f"no node to ask: {text}")


def _format_endpoint(endpoint: gossip_pb2.Endpoint) -> str:
    return str(Address(endpoint.ip, endpoint.port))


def _print_source(answer: FleetAnswer) -> None:
    status = answer.status
    ready = "ready" if status.ready else "NOT READY"
    typer.echo(
        f"answered by {status.node} at {answer.address}, {ready},"
        f" catalogue version {status.catalogue_version}"
    )
    for address in answer.unreachable:
        typer.echo(f"no answer from {address}", err=True)


def _print_json(answer: FleetAnswer, name: str, items: Any) -> None:
    content = {
        "answered_by": answer.status.node,
        "address": str(answer.address),
        "ready": answer.status.ready,
        "catalogue_version": answer.status.catalogue_version,
        "silent": [str(address) for address in answer.unreachable],
        name: [_make_dict(item) for item in items],
    }
    typer.echo(json.dumps(content, indent=2))


def _make_dict(item: message.Message) -> dict[str, Any]:
    found: dict[str, Any] = json_format.MessageToDict(
        item,
        preserving_proto_field_name=True,
        always_print_fields_with_no_presence=True,
    )
    return found
