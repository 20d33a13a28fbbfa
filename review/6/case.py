"""A request that stands in the body of another one runs by itself if the other names a coding that isn't known."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "stand-2"))
import stand  # noqa: E402


def case(record):
    store = stand.Store(record)
    store.put("op/config", stand.configuration("portal", [("order", "non_idempotent", 1)]))
    server = stand.PlainServer(store, record, "i-one", "portal", "zone-1")
    daemons = stand.Daemons(store, 1)
    daemons.start_all()

    text = stand.encode("POST /order/inner HTTP/1.1", stand.request_headers("inner") + [("Content-Length", 0)])
    framing = ("Transfer-Encoding", "gzip") if stand.TROUBLE else ("Content-Length", len(text))
    client = stand.Client(daemons, 1, record, 2)
    record.write(f"client sends outer (POST /order/outer, {framing[0]}: {framing[1]}) with a body of {len(text)} "
                 "bytes, the text of a request")
    client.sock.sendall(stand.encode("POST /order/outer HTTP/1.1", stand.request_headers("outer") + [framing], text))
    client.receive("outer")
    client.receive("anything more")
    time.sleep(0.3)

    broken = []
    for request_id, request in server.runs:
        if request_id != "outer":
            broken.append(f"UNASKED: {server.name} ran {request_id}, which stood in the body of another request")
        elif request.body != text:
            broken.append(f"UNASKED: {server.name} ran outer with a body of {len(request.body)} bytes, "
                          f"the client's has {len(text)}")
    if not stand.TROUBLE and [each for each, _ in server.runs] != ["outer"]:
        raise stand.CannotRun("the request did not run without the disruption")
    return broken


stand.play(FOLDER, case)
