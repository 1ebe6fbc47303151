"""`make demo`: starts stand-ins and two VMs' programs on loopback, sends requests, and stops them.

Each run picks random loopback addresses, so that concurrent demos don't collide.
"""

import hashlib
import json
import random
import shutil
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import httpx
import yaml
from rich.console import Console
from rich.progress import track

BIN = Path(sys.executable).parent
FOLDER = Path(__file__).resolve().parent.parent / ".demo"
PROGRAMS = ("dispatcher", "gateway", "batch", "controller")
READINESS_PORTS = (7402, 8080, 7403, 7404)
API_KEY = "demo-key-cyweirio"
SECRET = "demo-shared-secret-0001"
JOB_ITEMS = 200
START_TIMEOUT_S = 20.0
JOB_TIMEOUT_S = 120.0
STOP_TIMEOUT_S = 15.0

console = Console()


class DemoFleet:
    """The files and processes of a demo.

    Args:
        folder: Where settings, logs and traces go.
        vm_count: Number of VMs to run.
    """

    def __init__(self, folder: Path, vm_count: int = 2) -> None:
        self.folder = folder
        self.subnet = f"127.{random.randint(16, 250)}.{random.randint(0, 250)}"
        self.vms = [f"vm-{index + 1}" for index in range(vm_count)]
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    def host_of(self, vm: str) -> str:
        """Returns the loopback address of a VM."""
        return f"{self.subnet}.{10 + self.vms.index(vm)}"

    def gateway_url(self, vm: str) -> str:
        """Returns the base URL of a VM's gateway."""
        return f"http://{self.host_of(vm)}:8080"

    def write_files(self) -> None:
        """Writes the files of the stand-ins, the VMs' settings, the inventory and the rules."""
        shutil.rmtree(self.folder, ignore_errors=True)
        self.folder.mkdir(parents=True)
        self._write_yaml("fleet.yaml", self._standins())
        for vm in self.vms:
            self._write_yaml(f"{vm}.yaml", self._settings(vm))
        self._write_yaml("inventory.yaml", self._inventory())
        shares = [{"member": "cyweirio", "percent": 60}, {"member": "trust", "percent": 40}]
        self._write_yaml("rules.yaml", {"shares": shares, "priority_member": "cyweirio"})

    def start(self) -> None:
        """Starts the stand-ins, applies the configuration and starts every VM's programs."""
        self.spawn("standins", "fleet.yaml")
        self._wait_for(f"http://{self.subnet}.1:9000/records")
        files = ["inventory.yaml", "rules.yaml"]
        command = [str(BIN / "briarvale"), "config", "apply", *files, "--settings", "vm-1.yaml"]
        subprocess.run(command, cwd=self.folder, check=True, capture_output=True)
        for vm in self.vms:
            for program in PROGRAMS:
                self.spawn(program, f"{vm}.yaml", name=f"{program}@{vm}")
        for vm in self.vms:
            self.wait_ready(vm)

    def wait_ready(self, vm: str) -> None:
        """Waits until each program of a VM is ready."""
        for port in READINESS_PORTS:
            self._wait_for(f"http://{self.host_of(vm)}:{port}/health/ready")

    def spawn(self, program: str, settings: str, name: str = "") -> None:
        """Starts one process and appends its output to a log in the folder."""
        name = name or program
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [str(BIN / f"briarvale-{program}"), settings],
                cwd=self.folder,
                stdout=log,
                stderr=log,
            )

    def stop(self) -> None:
        """Stops every process by SIGTERM, the stand-ins last."""
        standins = self.processes.pop("standins", None)
        for process in self.processes.values():
            process.send_signal(signal.SIGTERM)
        for process in self.processes.values():
            _end(process)
        if standins is not None:
            standins.terminate()
            _end(standins)

    def _write_yaml(self, name: str, content: dict[str, Any]) -> None:
        (self.folder / name).write_text(yaml.safe_dump(content, sort_keys=False))

    def _wait_for(self, url: str) -> None:
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            try:
                if httpx.get(url, trust_env=False).status_code == 200:
                    return
            except httpx.HTTPError:
                pass
            time.sleep(0.1)
        raise TimeoutError(url)

    def _standins(self) -> dict[str, Any]:
        """Returns the content of the file that lists the stand-ins."""
        vms = [
            {
                "vm": vm,
                "host": self.host_of(vm),
                "region": "wales",
                "availability_zone": "caerdydd" if index % 2 == 0 else "abertawe",
                "status": "live",
            }
            for index, vm in enumerate(self.vms)
        ]
        return {
            "object_api": {"host": f"{self.subnet}.1", "port": 9000},
            "vm_list": {"host": f"{self.subnet}.1", "port": 9001, "vms": vms},
            "engines": [
                {"name": f"bs-{n}", "model": "reeds", "host": f"{self.subnet}.1", "port": 9100 + n}
                for n in (1, 2, 3)
            ],
            "plain_services": [{"name": "bs-orders", "host": f"{self.subnet}.1", "port": 9200}],
        }

    def _settings(self, vm: str) -> dict[str, Any]:
        return {
            "vm": vm,
            "region": "wales",
            "availability_zone": "caerdydd" if self.vms.index(vm) % 2 == 0 else "abertawe",
            "host": self.host_of(vm),
            "shared_secret": SECRET,
            "object_api_url": f"http://{self.subnet}.1:9000",
            "vm_list_url": f"http://{self.subnet}.1:9001/vms",
            "trace_file": "traces.jsonl",
            "balancer_lag_s": 0.2,
        }

    def _inventory(self) -> dict[str, Any]:
        digest = hashlib.sha256(API_KEY.encode()).hexdigest()
        trust_digest = hashlib.sha256(b"demo-key-trust").hexdigest()
        servers = [
            {
                "id": f"bs-{n}",
                "service": "reed-desk",
                "url": f"http://{self.subnet}.1:{9100 + n}",
                "slots": 16,
                "region": "wales",
                "availability_zone": "caerdydd" if n % 2 else "abertawe",
            }
            for n in (1, 2, 3)
        ]
        servers.append(
            servers[0]
            | {
                "id": "bs-orders",
                "service": "orders",
                "url": f"http://{self.subnet}.1:9200",
            }
        )
        return {
            "members": [
                {"id": "cyweirio", "api_key_sha256": [digest]},
                {"id": "trust", "api_key_sha256": [trust_digest]},
            ],
            "models": [{"id": "reeds", "version": "1"}],
            "services": [
                {"id": "reed-desk", "kind": "model", "model": "reeds"},
                {"id": "orders", "kind": "plain"},
            ],
            "backend_servers": servers,
        }


def _end(process: subprocess.Popen[bytes]) -> None:
    try:
        process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


def run_stream(client: httpx.Client, base_url: str) -> str:
    """Streams one completion and returns its text."""
    body = {"model": "reed-desk", "prompt": "The low G reed buzzes", "max_tokens": 24}
    text = ""
    with client.stream(
        "POST", f"{base_url}/v1/completions", json=body | {"stream": True}
    ) as response:
        for line in response.iter_lines():
            data = line.removeprefix("data: ")
            if line and data != "[DONE]":
                text += json.loads(data)["choices"][0]["text"]
    return text


def run_job(client: httpx.Client, base_url: str) -> list[dict[str, Any]]:
    """Submits a job, polls it until it is done and returns its results."""
    lines = "\n".join(
        json.dumps({"prompt": f"Retune reed block {n}", "max_tokens": 16}) for n in range(JOB_ITEMS)
    )
    params = {"service": "reed-desk", "due_at_ms": str(int(time.time() * 1000) + 3_600_000)}
    url = f"{base_url}/v1/jobs/demo"
    client.put(url, params=params, content=lines).raise_for_status()
    deadline_s = time.monotonic() + JOB_TIMEOUT_S
    done = 0
    for item_index in track(range(JOB_ITEMS), "Items", console=console):
        while done <= item_index:
            if time.monotonic() > deadline_s:
                raise TimeoutError("the job did not finish")
            time.sleep(0.2)
            done = client.get(url).json()["done_count"]
    return [json.loads(line) for line in client.get(f"{url}/results").text.splitlines()]


def main() -> None:
    """Runs the demo; exits 1 if an answer is missing."""
    fleet = DemoFleet(FOLDER)
    fleet.write_files()
    headers = {"authorization": f"Bearer {API_KEY}"}
    try:
        console.print("Starting stand-ins and two VMs' programs on loopback.")
        fleet.start()
        with httpx.Client(headers=headers, trust_env=False, timeout=30) as client:
            base_url = fleet.gateway_url("vm-1")
            console.print("Streamed completion:", run_stream(client, base_url))
            order = client.post(f"{base_url}/v1/services/orders/lookup", json={"order": 7})
            console.print("Plain service call:", order.text)
            results = run_job(client, fleet.gateway_url("vm-2"))
            console.print(f"Batch job: {len(results)} results; the first:", results[0])
    finally:
        fleet.stop()
    console.print("Stopped everything.")
    sys.exit(0 if len(results) == JOB_ITEMS else 1)


if __name__ == "__main__":
    main()
