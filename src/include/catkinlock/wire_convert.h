#pragma once

#include "catkinlock/database_request.h"
#include "catkinlock/membership.h"
#include "catkinlock/tables.h"

namespace catkinlock::wire {
class ForwardRequest;
class ForwardReply;
class InstanceRecord;
class TableEntry;
}

namespace catkinlock {

/// Conversions between the project's types and the messages of peer.proto. A `write...` function expects an empty
/// message and leaves its `id`, if it has one, to the caller. A deadline is sent as the time remaining at `now` in
/// whole milliseconds, 0 if it has passed, because the clocks of instances are not synchronized. An outcome that this
/// release does not know is read as an unknown outcome.
void writeRequest(const DatabaseRequest&, TimePoint now, wire::ForwardRequest&);
DatabaseRequest readRequest(const wire::ForwardRequest&, TimePoint now);

void writeResult(const DatabaseResult&, wire::ForwardReply&);
DatabaseResult readResult(const wire::ForwardReply&);

void writeRecord(const InstanceRecord&, wire::InstanceRecord&);
InstanceRecord readRecord(const wire::InstanceRecord&);

void writeEntry(const TableEntry&, wire::TableEntry&);
TableEntry readEntry(const wire::TableEntry&);

} // namespace catkinlock
