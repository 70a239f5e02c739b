#include "catkinlock/instance_lifecycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace catkinlock {

namespace {

    namespace msm = boost::msm;
    using msm::front::none;
    using msm::front::Row;

    struct TablesLoaded { };
    struct LeaveRequested { };
    struct NothingInFlight { };

    struct LifecycleDefinition : msm::front::state_machine_def<LifecycleDefinition> {
        struct Starting : msm::front::state<> { };
        struct Serving : msm::front::state<> { };
        struct Draining : msm::front::state<> { };
        struct Stopped : msm::front::state<> { };
        using initial_state = Starting;
        using transition_table = boost::mpl::vector<Row<Starting, TablesLoaded, Serving, none, none>,
            Row<Starting, LeaveRequested, Draining, none, none>, Row<Serving, LeaveRequested, Draining, none, none>,
            Row<Draining, NothingInFlight, Stopped, none, none>>;

        // An event without a transition is a duplicate or arrived late, and is ignored.
        template <typename Event, typename Machine> void no_transition(const Event&, Machine&, int) { }
    };

} // namespace

struct InstanceLifecycle::Machine : msm::back::state_machine<LifecycleDefinition> { };

InstanceLifecycle::InstanceLifecycle()
    : machine(std::make_unique<Machine>())
{
    this->machine->start();
}

InstanceLifecycle::~InstanceLifecycle() = default;

void InstanceLifecycle::ready() { this->machine->process_event(TablesLoaded()); }

void InstanceLifecycle::leave() { this->machine->process_event(LeaveRequested()); }

void InstanceLifecycle::drained() { this->machine->process_event(NothingInFlight()); }

InstanceLifecycle::State InstanceLifecycle::state() const
{
    // MSM numbers the states in the order in which they first appear in the transition table, which is that of State.
    return static_cast<State>(this->machine->current_state()[0]);
}

} // namespace catkinlock
