"""The membership protocol on a simulated network: loss, delay, duplicates, reordering, partitions, pauses and crashes.

Runs are deterministic by seed. The figures are simulated: they depend on no socket and no machine.
"""

import csv
import heapq
from random import Random

from ramppulley.cluster.config import MS, ProtocolConfig, S
from ramppulley.cluster.local_member import Identity
from ramppulley.cluster.members import Members

PLAIN = ProtocolConfig(health_max=0, suspicion_confirmations=0)  # SWIM without Lifeguard: the baseline


class Net:
    """A cluster of `size` instances named i0, i1 and so on, with i0 as the seed. Times are in tenths of a millisecond.

    `cut(sender, receiver)` tells whether datagrams in this direction are dropped.
    """

    def __init__(self, size, seed=1, config=None, loss=0.0, delay=(1 * MS, 30 * MS), doubled=0.0, join=True):
        self.rng, self.now, self.heap, self.scheduled_count = Random(seed), 0, [], 0
        self.loss, self.delay, self.doubled, self.config = loss, delay, doubled, config or ProtocolConfig()
        self.members, self.paused_until, self.cut = {}, {}, lambda a, b: False
        self.sent, self.bytes, self.largest, self.events = {}, {}, 0, []
        for number in range(size):
            self.start(f"i{number}", seeds=[("i0", 1)] if join else [])

    def start(self, name, seeds=(("i0", 1),), incarnation=1, **kwargs):
        member = Members(
            Identity(name, (name, 1)), Random(self.rng.getrandbits(32)), self.config, self.now, incarnation, **kwargs
        )
        self.members[name] = member
        self.sent.setdefault(name, 0)
        self.bytes.setdefault(name, 0)
        member.join(self.now, seeds)
        self._collect_output(name, member)
        return member

    def end(self, name):
        """Crashes the instance: it sends nothing more."""
        del self.members[name]

    def pause(self, name, duration):
        """Stops the instance for this long; datagrams that arrive meanwhile are delivered afterwards."""
        self.paused_until[name] = self.now + duration

    def _schedule(self, at, kind, *args):
        self.scheduled_count += 1
        heapq.heappush(self.heap, (at, self.scheduled_count, kind, args))

    def _collect_output(self, name, member):
        """Sends the instance's datagrams, keeps its events and schedules its next timer."""
        for address, data in member.out:
            self.sent[name], self.bytes[name] = self.sent[name] + 1, self.bytes[name] + len(data)
            self.largest = max(self.largest, len(data))
            for _ in range(1 + (self.rng.random() < self.doubled)):
                if self.rng.random() >= self.loss and not self.cut(name, address[0]):
                    self._schedule(self.now + int(self.rng.uniform(*self.delay)), "data", address[0], name, data)
        member.out.clear()
        self.events += [(self.now, name, kind, subject) for kind, subject in member.events]
        member.events.clear()
        self._schedule(max(self.now + 1, member.due()), "tick", name, member)

    def run(self, until):
        while self.heap and self.heap[0][0] <= until:
            self.now, _, kind, (name, *args) = heapq.heappop(self.heap)
            member = self.members.get(name)
            if member is None or (kind == "tick" and args[0] is not member):
                continue
            if self.now < self.paused_until.get(name, 0):
                self._schedule(self.paused_until[name], kind, name, *args)
                continue
            if kind == "data":
                member.receive(self.now, (args[0], 1), args[1])
                self._collect_output(name, member)
            elif self.now >= member.due():  # otherwise the timer was rescheduled in the meantime
                member.tick(self.now)
                self._collect_output(name, member)
        self.now = until

    def agree(self):
        """Whether every instance lists exactly the running instances as alive."""
        return all(set(m.alive()) == set(self.members) - {n} for n, m in self.members.items())

    def seen(self, kind, subject=None):
        return [event for event in self.events if event[2] == kind and subject in (None, event[3])]


def measure(size, loss, config=None, seed=1, observation_time=60 * S, detection_time=60 * S):
    """Measures one cluster: time until all instances have joined, false positives per instance-hour, and traffic.

    Then one instance crashes: time until the first and the last of the others detect it. Traffic is in bytes and datagrams
    per second of an instance (mean; for bytes also the maximum), and the size of the largest datagram.
    """
    net = Net(size, seed, config, loss)
    step = 1 * S
    while not net.agree() and net.now < 120 * S:
        net.run(net.now + step)
    joined = net.now if net.agree() else None
    started, net.events = net.now, []
    before = dict(net.bytes), dict(net.sent)
    net.run(started + observation_time)
    false_positives = len(net.seen("dead"))
    byte_rates = [(net.bytes[n] - before[0][n]) * S / observation_time for n in net.members]
    datagram_rates = [(net.sent[n] - before[1][n]) * S / observation_time for n in net.members]
    victim, net.events = f"i{size - 1}", []
    net.end(victim)
    crashed_at = net.now
    net.run(crashed_at + detection_time)
    detection_times = sorted(at - crashed_at for at, *_ in net.seen("dead", victim))
    return {
        "size": size,
        "loss": loss,
        "met_s": joined and joined / S,
        "wrong_an_hour": round(false_positives / (size * observation_time / (3600 * S)), 3),
        "first_s": detection_times[0] / S if detection_times else None,
        "last_s": detection_times[-1] / S if len(detection_times) >= size - 1 else None,
        "told": len(detection_times),
        "bytes_s": round(sum(byte_rates) / size),
        "bytes_most_s": round(max(byte_rates)),
        "datagrams_s": round(sum(datagram_rates) / size, 2),
        "largest": net.largest,
    }


def table(sizes, losses, path, echo=print, seed=1):
    """Measures each size and loss with and without Lifeguard and writes a CSV file with a row for each."""
    with open(path, "w", newline="") as file:
        writer = None
        for size in sizes:
            for loss in losses:
                for name, config in (("lifeguard", None), ("swim", PLAIN)):
                    row = {"protocol": name, "seed": seed, **measure(size, loss, config, seed)}
                    if writer is None:
                        writer = csv.DictWriter(file, row)
                        writer.writeheader()
                    writer.writerow(row)
                    echo(" ".join(f"{key} {value}" for key, value in row.items()))
