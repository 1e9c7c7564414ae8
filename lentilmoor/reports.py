"""Evidence on servers and on crashes, to and from peer messages."""

# Members of generated modules exist only at run time.
# pylint: disable=no-member

from collections.abc import Iterable

from lentilmoor import evidence
from lentilmoor import quarantine
from lentilmoor.protocol import peer_pb2


def write_evidence(item: evidence.Evidence) -> peer_pb2.ServerEvidence:
    """Returns the message of one opinion on a server."""
    probed = item.source is evidence.Source.PROBE
    return peer_pb2.ServerEvidence(shard=item.shard,
                                   server=item.server,
                                   failures=item.failures,
                                   age_ms=max(0, int(item.age_ms)),
                                   probes=1 if probed else 0,
                                   refused=item.refused,
                                   span_ms=max(0, int(item.span_ms)))


def read_evidence(
        messages: Iterable[peer_pb2.ServerEvidence]) -> list[evidence.Evidence]:
    """Returns the opinions in some messages."""
    return [
        evidence.Evidence(
            item.shard, item.server,
            evidence.Source.PROBE if item.probes else evidence.Source.REQUEST,
            item.failures, item.refused, float(item.age_ms),
            float(item.span_ms)) for item in messages
    ]


def write_crash(item: quarantine.Evidence) -> peer_pb2.CrashEvidence:
    """Returns the message of one crash, clean run or release."""
    return peer_pb2.CrashEvidence(fingerprint=item.fingerprint,
                                  service=item.service,
                                  crashes=item.crashes,
                                  age_ms=max(0, int(item.age_ms)),
                                  servers=[item.server] if item.server else [],
                                  released=item.released)


def read_crashes(
        messages: Iterable[peer_pb2.CrashEvidence]
) -> list[quarantine.Evidence]:
    """Returns the crashes, clean runs and releases in some messages."""
    return [
        quarantine.Evidence(item.fingerprint, item.service, item.crashes,
                            float(item.age_ms),
                            item.servers[0] if item.servers else '',
                            item.released) for item in messages
    ]
