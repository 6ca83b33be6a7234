"""Connect quota tasks of nodes and voters without links."""

import trio

from bendwind_core.quotas import QuotaBounds, QuotaReply
from bendwind_core.timeline import Recorder
from bendwind_core.world import Configuration, Customer
from bendwind_node.quotas import create_node_quota_task, create_voter_quota_task

CONFIRMED_FOR = 1.0
DELAY = 0.001


class FakeControl:
    """Replace the control voter beside a voter's quotas."""

    def __init__(self, voter_id, names, configuration):
        self.voter_id = voter_id
        self.voter_names = names
        self.configuration = configuration


class QuotaTestCluster:
    """Hold some voters and nodes; messages to or from `unreachable` processes are lost."""

    def __init__(self, nursery, customers, voters=3, bounds=None):
        self.nursery = nursery
        self.recorder = Recorder("n", lambda: 1, 1000)
        self.bounds = bounds or QuotaBounds()
        self.customers = {customer.name: customer for customer in customers}
        self.names = tuple(f"v{index}" for index in range(voters))
        self.unreachable = set()
        self.voters = {}
        self.nodes = {}
        self.sent = []
        self.configuration = Configuration(1, customers=tuple(customers))
        for index, name in enumerate(self.names):
            self.start_voter(name, index, Configuration(0))
        self.confirm()
        for voter in self.voters.values():
            voter.control.configuration = self.configuration
            voter.refresh_state()

    def start_voter(self, name, voter_id, configuration):
        control = FakeControl(voter_id, self.names, configuration)
        task = create_voter_quota_task(
            name,
            len(self.sent) + 1,
            self.bounds,
            len(self.names),
            CONFIRMED_FOR,
            control,
            lambda to, message: self.send(name, to, message),
        )
        self.voters[name] = task
        task.refresh_state()
        self.nursery.start_soon(task.run)
        return task

    def confirm(self):
        for name, voter in self.voters.items():
            if name not in self.unreachable:
                voter.handle_quorum_confirmed(trio.current_time())

    async def keep_confirming(self):
        while True:
            self.confirm()
            await trio.sleep(CONFIRMED_FOR / 4)

    def add_node(self, name, first=0):
        order = self.names[first:] + self.names[:first]
        task = create_node_quota_task(
            self.bounds,
            1,
            lambda: order,
            lambda to, message: self.send(name, to, message),
            self.recorder,
        )
        task.find_customer = self.customers.get
        self.nodes[name] = task
        self.nursery.start_soon(task.run)
        return task

    def send(self, sender, to, message):
        self.sent.append((sender, to, message))
        self.nursery.start_soon(self._deliver, sender, to, message)

    async def _deliver(self, sender, to, message):
        await trio.sleep(DELAY)
        if sender in self.unreachable or to in self.unreachable:
            return
        if isinstance(message, QuotaReply):
            self.nodes[to].receive(sender, message)
        else:
            self.voters[to].receive(sender, message)


def make_customer(rate=10.0, burst=10.0, name="maria"):
    return Customer(name, rate_per_s=rate, burst=burst)
