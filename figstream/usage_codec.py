"""Encodes usage deltas as protobuf messages for transfer between daemons.

The names of customers and request classes are sent once per delta, and rows
refer to them by index, so that a row takes about ten bytes.
"""

from collections.abc import Iterable

from figstream import sequence_spans
from figstream import usage_api
from figstream import usage_delta
from figstream.rpc import usage_pb2


def encode_run(run: usage_delta.RunId) -> usage_pb2.Run:
    """Encodes the identity of a run."""
    return usage_pb2.Run(daemon=run.daemon, start_number=run.start_number)


def decode_run(message: usage_pb2.Run) -> usage_delta.RunId:
    """Decodes the identity of a run."""
    return usage_delta.RunId(message.daemon, message.start_number)


def encode_id(delta_id: usage_delta.DeltaId) -> usage_pb2.DeltaId:
    """Encodes the identity of a delta."""
    return usage_pb2.DeltaId(
        run=encode_run(delta_id.run), sequence=delta_id.sequence
    )


def decode_id(
    message: usage_pb2.DeltaId | usage_pb2.Delta,
) -> usage_delta.DeltaId:
    """Decodes the identity of a delta."""
    return usage_delta.DeltaId(decode_run(message.run), message.sequence)


def encode_delta(delta: usage_delta.UsageDelta) -> usage_pb2.Delta:
    """Encodes a delta."""
    customers = sorted({item.customer for item in delta.items})
    classes = sorted({item.request_class for item in delta.items})
    customer_index = {name: index for index, name in enumerate(customers)}
    class_index = {name: index for index, name in enumerate(classes)}
    rows = [
        usage_pb2.Row(
            customer=customer_index[item.customer],
            request_class=class_index[item.request_class],
            requests=item.requests,
            prompt_tokens=item.prompt_tokens,
            output_tokens=item.output_tokens,
        )
        for item in delta.items
    ]
    return usage_pb2.Delta(
        run=encode_run(delta.delta_id.run),
        sequence=delta.delta_id.sequence,
        opened_ms=delta.opened_ms,
        customers=customers,
        request_classes=classes,
        rows=rows,
    )


def decode_delta(message: usage_pb2.Delta) -> usage_delta.UsageDelta:
    """Decodes a delta."""
    items = tuple(
        usage_api.UsageItem(
            message.customers[row.customer],
            message.request_classes[row.request_class],
            row.requests,
            row.prompt_tokens,
            row.output_tokens,
        )
        for row in message.rows
    )
    return usage_delta.UsageDelta(decode_id(message), message.opened_ms, items)


def encode_counted(
    run: usage_delta.RunId, spans: Iterable[sequence_spans.Span]
) -> usage_pb2.CountedRun:
    """Encodes the sequence numbers of a run that are counted."""
    encoded = [
        usage_pb2.Span(first=span.first, last=span.last) for span in spans
    ]
    return usage_pb2.CountedRun(run=encode_run(run), spans=encoded)


def decode_spans(
    message: usage_pb2.CountedRun,
) -> tuple[sequence_spans.Span, ...]:
    """Decodes the sequence numbers of a run that are counted."""
    return tuple(
        sequence_spans.Span(item.first, item.last) for item in message.spans
    )
