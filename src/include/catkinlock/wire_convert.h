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
/// message. A deadline is sent as the time remaining at `now`, because the clocks of instances are not synchronized.
void writeRequest(const DatabaseRequest&, TimePoint now, wire::ForwardRequest&);
DatabaseRequest readRequest(const wire::ForwardRequest&, TimePoint now);

void writeResult(const DatabaseResult&, wire::ForwardReply&);
DatabaseResult readResult(const wire::ForwardReply&);

void writeRecord(const InstanceRecord&, wire::InstanceRecord&);
InstanceRecord readRecord(const wire::InstanceRecord&);

void writeEntry(const TableEntry&, wire::TableEntry&);
TableEntry readEntry(const wire::TableEntry&);

} // namespace catkinlock
