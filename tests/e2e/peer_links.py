"""The paths between VMs, which a test can cut. The store hands each VM records of the others with addresses of links."""

import asyncio
import base64
import json

from users_platform import HOST

VM_RECORDS = "marigold/vm/"


class PeerLink(asyncio.DatagramProtocol):
    """Passes the messages of one VM on to another one."""

    def __init__(self):
        self.target = None  # address of the other VM, from its record
        self.is_cut = False
        self.passed = 0
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, _):
        if not self.is_cut and self.target is not None:
            self.passed += 1
            self.transport.sendto(data, self.target)


class PeerLinks:
    """The links between all VMs of a fleet, by the names of sender and receiver. Made before the VMs start."""

    def __init__(self, platform, store_ports, ports):
        """store_ports: port of the store of each VM, by its name; ports: one for each VM and each other one."""
        self.links, free = {}, iter(ports)
        for sender in store_ports:
            for receiver in store_ports:
                if sender != receiver:
                    port = next(free)
                    self.links[sender, receiver] = (port, platform.run(self.open(port)))
            platform.store.views[store_ports[sender]] = lambda item, sender=sender: self.view(sender, item)

    @staticmethod
    async def open(port):
        _, link = await asyncio.get_running_loop().create_datagram_endpoint(PeerLink, (HOST, port))
        return link

    def view(self, sender, item):
        receiver = item["key"].removeprefix(VM_RECORDS)
        if (sender, receiver) not in self.links or "value" not in item:
            return item
        port, link = self.links[sender, receiver]
        record = json.loads(base64.b64decode(item["value"]))
        host, target = record["peer_address"].rsplit(":", 1)
        link.target = (host, int(target))
        record["peer_address"] = f"{HOST}:{port}"
        return {**item, "value": base64.b64encode(json.dumps(record).encode()).decode()}

    def cut(self, names):
        """Cuts these VMs from all others; they still hear each other."""
        for (sender, receiver), (_, link) in self.links.items():
            link.is_cut = (sender in names) != (receiver in names)

    def heal(self):
        self.cut(())

    def passed(self):
        """Returns the number of messages that each link has passed on."""
        return [link.passed for _, link in self.links.values()]

    def close(self):
        for _, link in self.links.values():
            link.transport.close()
