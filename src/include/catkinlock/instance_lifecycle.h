#pragma once

#include <memory>

namespace catkinlock {

/// The life of an instance: starting, serving, draining, stopped.
class InstanceLifecycle {
public:
    enum class State {
        /// Not ready: no tables yet.
        Starting,
        Serving,
        /// No longer listed; what is in flight finishes, and what still comes is answered with a hint to go elsewhere.
        Draining,
        Stopped,
    };

    InstanceLifecycle();
    ~InstanceLifecycle();

    /// The tables are there.
    void ready();
    /// An operator or the platform asked the instance to leave.
    void leave();
    /// Nothing is in flight any more, or the time for it is over.
    void drained();

    State state() const;

private:
    struct Machine;
    std::unique_ptr<Machine> machine;
};

} // namespace catkinlock
