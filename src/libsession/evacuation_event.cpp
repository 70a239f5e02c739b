#include "libsession/evacuation_event.h"

#include "catkinlock/log.h"

namespace catkinlock {

void logEvacuation(const EvacuationEvent& event)
{
    switch (event.kind) {
    case EvacuationEvent::Kind::Begun:
        return writeLog(LogLevel::Warning, "evacuation_begun", { { "data_centre", event.dataCentre } });
    case EvacuationEvent::Kind::Ended:
        return writeLog(LogLevel::Info, "evacuation_ended", { { "data_centre", event.dataCentre } });
    case EvacuationEvent::Kind::Rejected:
        return writeLog(LogLevel::Warning, "evacuation_entry_rejected",
            { { "data_centre", event.dataCentre }, { "reason", event.reason } });
    }
}

} // namespace catkinlock
