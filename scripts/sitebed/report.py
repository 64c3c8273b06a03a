"""Counts what callers and upstreams recorded, matched by request id."""

import collections
import json

KEYS = ("site fault seed seconds flows broken broken_on_dead_host requests "
        "answered refused unknown refused_but_ran doubled crossed truncated "
        "wrong_service late_urgent urgent_p99_ms ordinary_p99_ms imbalance "
        "control_bytes_per_node_s config_in_force_ms").split()

MUST_BE_ZERO = ("doubled crossed truncated wrong_service "
                "refused_but_ran").split()


def read_lines(path):
    """JSON lines of a file; a last line cut by a kill is left out."""
    rows = []
    if not path.exists():
        return rows
    for line in path.read_text().splitlines():
        try:
            rows.append(json.loads(line))
        except ValueError:
            continue
    return rows


def percentile(values, share):
    if not values:
        return None
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def latency_p99(requests, name):
    values = [(r["end_us"] - r["start_us"]) / 1000.0 for r in requests
              if r["class"] == name and r["result"] == "answered"]
    value = percentile(values, 0.99)
    return None if value is None else round(value, 1)


def count_runs(folder):
    """Runs by request id, runs by key, and busy time by endpoint."""
    by_id = collections.Counter()
    by_key = collections.Counter()
    busy = collections.defaultdict(float)
    wrong = 0
    for path in sorted(folder.glob("upstream-*.jsonl")):
        for row in read_lines(path):
            if row.get("event") == "start":
                by_id[row["id"]] += 1
                if row.get("key"):
                    by_key[row["key"]] += 1
                if row.get("host") and row["host"] != row["service"]:
                    wrong += 1
            elif row.get("end_us"):
                endpoint = (row["service"], row["endpoint"])
                busy[endpoint] += row["end_us"] - row["start_us"]
    return by_id, by_key, busy, wrong


def imbalance(busy, service, endpoints):
    """Most over mean busy time of a service's endpoints."""
    values = [busy.get((service, name), 0.0) for name in endpoints]
    if not values or sum(values) == 0:
        return None
    return round(max(values) * len(values) / sum(values), 3)


def summarise(folder, steady, service, dead_agents):
    """All counts that come from the records."""
    rows = read_lines(folder / "caller.jsonl")
    requests = [r for r in rows if r["type"] == "request"]
    flows = [r for r in rows if r["type"] == "flow"]
    by_id, by_key, busy, wrong = count_runs(folder)
    broken = [f for f in flows
              if f["end"] in ("reset", "timeout", "open_failed")]
    on_dead = [f for f in broken if f.get("via") in dead_agents]
    result = collections.Counter(r["result"] for r in requests)
    refused = [r for r in requests if r["result"] == "refused"]
    urgent = [r for r in requests if r["class"] == "urgent"]
    late = [r for r in urgent
            if r["result"] in ("answered", "timeout") and
            r["end_us"] > r["deadline_us"]]
    return {
        "flows": len(flows),
        "broken": len(broken),
        "broken_on_dead_host": len(on_dead),
        "requests": len(requests),
        "answered": result["answered"],
        "refused": result["refused"],
        "unknown": (result["unknown"] + result["timeout"] +
                    result["broken"] + result["in_progress"]),
        "refused_but_ran": sum(1 for r in refused if by_id[r["id"]]),
        "doubled": sum(1 for n in by_key.values() if n > 1),
        "crossed": sum(1 for r in requests if r.get("crossed")),
        "truncated": sum(1 for r in requests if r.get("truncated")),
        "wrong_service": wrong + sum(1 for r in requests
                                     if r.get("wrong_service")),
        "late_urgent": len(late),
        "urgent_p99_ms": latency_p99(requests, "urgent"),
        "ordinary_p99_ms": latency_p99(requests, "ordinary"),
        "imbalance": imbalance(busy, service, steady),
    }


def print_table(values, events, results):
    print(f"{'':2}time    event")
    for elapsed, what in events:
        print(f"{elapsed:7.2f} s  {what}")
    print()
    for key in KEYS:
        value = values.get(key)
        print(f"  {key:26} {'not measured' if value is None else value}")
    if results:
        print()
    for line in results:
        print(f"  NOT MET: {line}")
    print(json.dumps({key: values.get(key) for key in KEYS}), flush=True)


def judge_datagrams(folder, expected):
    """What the datagram load did not meet: nothing lost, nothing foreign."""
    if not expected:
        return []
    rows = [r for r in read_lines(folder / "caller.jsonl")
            if r["type"] == "datagrams"]
    if not rows:
        return ["the caller recorded no datagram load"]
    return [f"of {r['sent']} datagrams {r['lost']} were lost and "
            f"{r['foreign']} foreign" for r in rows
            if r["lost"] or r["foreign"]]
