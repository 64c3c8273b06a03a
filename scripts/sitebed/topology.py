"""Sizes of today: which processes a site has and their settings files."""

import copy
import json
import pathlib
import socket
import dataclasses

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
PATIENCE_MS = 8000  # a caller gives up so long after its deadline
CALLERS = ["10.9.0.1", "10.9.0.2", "10.9.0.3", "10.9.0.4"]

SITES = {
    "dar": {
        "data_centres": ["kariakoo", "msasani", "ubungo"],
        "delay_us": 1000,
        "endpoints": {"lots": 7, "albums": 3},
        "service_ms": {"lots": 20, "albums": 40},
    },
    "perth": {
        "data_centres": ["perth-north", "perth-cbd", "perth-south"],
        "delay_us": 500,
        "endpoints": {"desk-app": 7, "report-svc": 3},
        "service_ms": {"desk-app": 20, "report-svc": 40},
    },
}

UDP_SERVICE = {
    "name": "time-svc",
    "address": "10.20.0.9",
    "port": 123,
    "protocol": "udp",
    "class": "ordinary",
}


class Ports:
    """Loopback addresses that the kernel gave, held until they are used."""

    def __init__(self):
        self.held = {}

    def take(self):
        """An address free for both UDP and TCP, held until release()."""
        for _ in range(100):
            tcp = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                tcp.bind(("127.0.0.1", 0))
                udp.bind(tcp.getsockname())
            except OSError:
                tcp.close()
                udp.close()
                continue
            address = "127.0.0.1:%d" % tcp.getsockname()[1]
            self.held[address] = (tcp, udp)
            return address
        raise RuntimeError("no port is free for both UDP and TCP")

    def release(self, settings):
        """Let go of every address that a process's settings name first."""
        for key in ("data", "control", "http", "listen"):
            for held in self.held.pop(settings.get(key), ()):
                held.close()


@dataclasses.dataclass
class Host:
    """One process with its settings, started or not."""

    name: str
    program: str
    settings: dict
    service: str = ""
    process: object = None
    ended: str = ""

    @property
    def running(self):
        return self.process is not None and self.process.poll() is None


class Topology:
    """All hosts of a site, spares for joins included."""

    def __init__(self, site, folder, seed, seconds, load, udp=False):
        self.site = site
        self.sizes = copy.deepcopy(SITES[site])
        self.folder = folder
        self.seed = seed
        self.seconds = seconds
        self.load = load
        self.trace = False
        self.text_path = ROOT / "examples" / site / "config.json"
        self.text = json.loads(self.text_path.read_text())
        if udp:
            self.add_udp_service()
        self.ports = Ports()
        self.platform_address = self.ports.take()
        self.fabric_address = self.ports.take()
        self.caller_address = self.ports.take()
        (folder / "site.key").write_text("swiftarch demo key, seed %d" % seed)
        self.balancers = [self.balancer(n) for n in range(4)]
        self.agents = []
        self.upstreams = []
        for service, count in self.sizes["endpoints"].items():
            for n in range(count + (service == self.first_service)):
                self.add_endpoint(service, n)
        self.share_seeds()

    @property
    def first_service(self):
        return next(iter(self.sizes["endpoints"]))

    def add_udp_service(self):
        """A datagram service beside the site's own, from an edited text."""
        self.text["services"].append(UDP_SERVICE)
        self.sizes["endpoints"][UDP_SERVICE["name"]] = 2
        self.sizes["service_ms"][UDP_SERVICE["name"]] = 1
        self.text_path = self.folder / "config-udp.json"
        self.text_path.write_text(json.dumps(self.text, indent=2) + "\n")

    def data_centre(self, n):
        names = self.sizes["data_centres"]
        return names[n % len(names)]

    def common(self, name, n):
        return {
            "name": name,
            "data_centre": self.data_centre(n),
            "cell": self.site,
            "data": self.ports.take(),
            "control": self.ports.take(),
            "http": self.ports.take(),
            "platform": f"http://{self.platform_address}",
            "site_key_file": "site.key",
        }

    def balancer(self, n):
        name = f"balancer-{n + 1}"
        return Host(name, "balancer", self.common(name, n) | {"workers": 1})

    def add_endpoint(self, service, n):
        name = f"{service}-{n + 1}"
        settings = self.common(name, n) | {
            "fabric": self.fabric_address,
            "drain_s": 30,
        }
        agent = Host(name, "agent", settings, service)
        upstream = {
            "listen": self.ports.take(),
            "agent": settings["http"],
            "name": name,
            "service": service,
            "slots": 2,
            "service_ms": {
                "mean": self.sizes["service_ms"][service],
                "sigma": 0.3,
            },
            "record": str(self.folder / f"upstream-{name}.jsonl"),
            "seed": self.seed + n,
        }
        self.agents.append(agent)
        self.upstreams.append(
            Host(f"upstream-{name}", "upstream", upstream, service))

    def share_seeds(self):
        first = self.balancers[:2] + self.agents[:2]
        seeds = [host.settings["control"] for host in first]
        for host in self.balancers + self.agents:
            own = host.settings["control"]
            host.settings["seeds"] = [s for s in seeds if s != own]
        self.operator = {
            "platform": f"http://{self.platform_address}",
            "seeds": seeds,
            "site_key_file": "site.key",
        }

    def spare_agent(self):
        """Agent and upstream that only a join starts."""
        count = self.sizes["endpoints"][self.first_service]
        return self.agents[count], self.upstreams[count]

    def fabric(self):
        settings = {
            "listen": self.fabric_address,
            "balancers": [
                {
                    "data": host.settings["data"],
                    "http": host.settings["http"],
                    "delay_us": self.sizes["delay_us"],
                }
                for host in self.balancers
            ],
            "callers": [
                {"ip": ip, "to": self.caller_address} for ip in CALLERS
            ],
            "seed": self.seed,
            "client_delay_us": 3000,
            "spray": "random",
        }
        return Host("fabric", "fabric", settings)

    def caller(self):
        loads = [self.service_load(s) for s in self.text["services"]]
        settings = {
            "fabric": self.fabric_address,
            "listen": self.caller_address,
            "seed": self.seed,
            "seconds": self.seconds,
            "record": str(self.folder / "caller.jsonl"),
            "traces": str(self.folder / "trace-caller.jsonl")
            if self.trace else "",
            "addresses": CALLERS,
            "loads": [load for load in loads if load],
        }
        return Host("caller", "caller", settings)

    def service_load(self, service):
        name = service["name"]
        count = self.sizes["endpoints"].get(name)
        if not count:
            return None
        capacity = count * 2 * 1000.0 / self.sizes["service_ms"][name]
        urgent = service.get("class") == "urgent"
        if service["protocol"] == "udp":
            return self.datagram_load(service)
        return {
            "service": name,
            "ip": service["address"],
            "port": service["port"],
            "class": "urgent" if urgent else "ordinary",
            "flows": 120 if urgent else 40,
            "flow_requests": 0,
            "rate": round(self.load * capacity, 1),
            "post_share": 0.5 if urgent else 0.0,
            "deadline_ms": 1000 if urgent else 4000,
            "patience_ms": PATIENCE_MS,
            "body_bytes": 200,
            "answer_bytes": 2000 if urgent else 20000,
        }

    def datagram_load(self, service):
        return {
            "service": service["name"],
            "ip": service["address"],
            "port": service["port"],
            "proto": "udp",
            "class": "ordinary",
            "flows": 40,
            "rate": 200.0,
            "body_bytes": 200,
        }
