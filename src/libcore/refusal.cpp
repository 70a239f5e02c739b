#include "catkinlock/refusal.h"

namespace catkinlock {

const char* outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Done:
        return "done";
    case Outcome::NotRun:
        return "not_run";
    case Outcome::Unknown:
        break;
    }
    return "unknown";
}

} // namespace catkinlock
