"""Hypothesis strategies that draw valid catalogues and requests."""

from hypothesis import strategies as st

from egretlever.schema import catalogue_pb2
from egretlever.testing.builders import build_route, build_service

# Few hosts, segments and methods, so that drawn routes often overlap and drawn
# requests often match several of them.
_HOSTS = ("*", "a.example", "b.example")
_SEGMENTS = ("x", "xy", "y")
_METHODS = ("GET", "POST", "PUT")
_RANKS = ("urgent", "normal", "background")


def _build_shares(maximum: float) -> st.SearchStrategy[float]:
    return st.floats(0, maximum, allow_subnormal=False)


@st.composite
def _draw_ranks(draw: st.DrawFn) -> list[catalogue_pb2.Rank]:
    priorities = draw(st.permutations(range(len(_RANKS))))
    return [
        catalogue_pb2.Rank(
            name=name,
            priority=priority,
            worth=draw(_build_shares(1e6)),
            minimum_share=draw(_build_shares(0.3)),
            target_s=draw(st.floats(0.001, 3600)),
            cross_region=draw(st.booleans()),
        )
        for name, priority in zip(_RANKS, priorities, strict=True)
    ]


@st.composite
def _draw_service(draw: st.DrawFn, name: str) -> catalogue_pb2.Service:
    return build_service(
        name,
        rank=draw(st.sampled_from(_RANKS)),
        floor_share=draw(_build_shares(0.99)),
        queue_limit=draw(st.integers(0, 100000)),
        retry_budget=draw(_build_shares(1)),
        order_mode=draw(st.sampled_from([0, 1])),
        hedge=draw(st.booleans()),
    )


@st.composite
def draw_path(draw: st.DrawFn) -> str:
    """Draw a path of up to four segments, with or without a final slash."""
    segments = draw(st.lists(st.sampled_from(_SEGMENTS), max_size=4))
    end = draw(st.sampled_from(["", "/"])) if segments else ""
    return "/" + "/".join(segments) + end


@st.composite
def draw_routes(draw: st.DrawFn) -> list[catalogue_pb2.Route]:
    """Draw routes of which no two have the same host, path and method."""
    routes = []
    used_keys: set[tuple[str, str, str]] = set()
    for number in range(draw(st.integers(1, 12))):
        host = draw(st.sampled_from(_HOSTS))
        path = draw(draw_path())
        methods = draw(st.lists(st.sampled_from(_METHODS), unique=True))
        keys = {(host, path.rstrip("/"), method) for method in methods or [""]}
        if keys & used_keys:
            continue
        used_keys |= keys
        routes.append(
            build_route(
                f"route-{number}",
                host=host,
                path=path,
                methods=sorted(methods),
                rank=draw(st.sampled_from(["", *_RANKS])),
                order=bool(methods) and "GET" not in methods,
                timeout_s=draw(st.sampled_from([0, 0.1, 7.5])),
                worth=draw(st.sampled_from([-1, 0, 2.25])),
            )
        )
    return routes


@st.composite
def draw_catalogue(
    draw: st.DrawFn, version: int = 0
) -> catalogue_pb2.Catalogue:
    """Draw a catalogue that passes validation."""
    names = draw(st.sets(st.sampled_from("abcdef"), max_size=4))
    return catalogue_pb2.Catalogue(
        version=version,
        edit_id=f"edit-{version}" if version else "",
        ranks=draw(_draw_ranks()),
        services=[
            draw(_draw_service(name)) for name in ["catalogue", *sorted(names)]
        ],
        routes=draw(draw_routes()),
    )


@st.composite
def draw_request(draw: st.DrawFn) -> tuple[str, str, str]:
    """Draw the method, host and path of a request."""
    method = draw(st.sampled_from([*_METHODS, "DELETE"]))
    host = draw(st.sampled_from([*_HOSTS[1:], "A.example:80", "c.example"]))
    return method, host, draw(draw_path())
