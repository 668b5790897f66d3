"""Converts members, statuses and notices to and from heartbeat messages."""

from figstream import member_table
from figstream import membership_api
from figstream import notices
from figstream.rpc import membership_pb2

_MS_PER_S = 1000


def status_to_message(
    status: member_table.Status,
) -> membership_pb2.Status:
    """Returns the protobuf message for a status."""
    return membership_pb2.Status(
        run=status.run,
        version=status.version,
        generation=status.generation,
        leaving=status.leaving,
        suspected=status.suspected,
        plan_version=status.plan_version,
    )


def status_from_message(message: membership_pb2.Status) -> member_table.Status:
    """Returns the status decoded from a protobuf message."""
    return member_table.Status(
        message.run,
        message.version,
        message.generation,
        message.leaving,
        message.suspected,
        message.plan_version,
    )


def entry_to_message(entry: member_table.Entry) -> membership_pb2.Entry:
    """Returns the protobuf message for a complete table entry."""
    return membership_pb2.Entry(
        name=entry.member.name,
        zone=entry.member.zone,
        region=entry.member.region,
        address=entry.member.address,
        start_number=entry.member.start_number,
        status=status_to_message(entry.status),
    )


def member_from_message(message: membership_pb2.Entry) -> membership_api.Member:
    """Returns the member decoded from a complete table entry."""
    return membership_api.Member(
        message.name,
        message.zone,
        message.region,
        message.address,
        message.start_number,
        message.status.generation,
        message.status.leaving,
        message.status.plan_version,
    )


def notice_to_message(
    notice: notices.Notice, now: float
) -> membership_pb2.Notice:
    """Returns the protobuf message for a notice with its remaining TTL."""
    return membership_pb2.Notice(
        origin=notice.origin,
        sequence=notice.sequence,
        kind=notice.kind,
        ttl_ms=max(0, round((notice.expires_at - now) * _MS_PER_S)),
        payload=notice.payload,
        zone=notice.zone,
    )


def notice_from_message(
    message: membership_pb2.Notice, now: float
) -> notices.Notice:
    """Returns the notice decoded from a protobuf message."""
    ttl_s = min(message.ttl_ms / _MS_PER_S, notices.MAX_TTL_S)
    return notices.Notice(
        message.origin,
        message.sequence,
        message.kind,
        message.payload[: notices.MAX_PAYLOAD_BYTES],
        now + ttl_s,
        message.zone,
    )
