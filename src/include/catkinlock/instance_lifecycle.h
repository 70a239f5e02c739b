#pragma once

#include <memory>

namespace catkinlock {

/// State machine of an instance: Starting, Serving, Draining, Stopped. If `leave` is called while the instance is
/// Starting, the instance goes straight to Draining. Events that do not apply to the current state are ignored.
class InstanceLifecycle {
public:
    enum class State {
        /// Not ready: no tables have been loaded.
        Starting,
        Serving,
        /// Being removed from the directory: requests in flight complete, and callers are directed to other instances.
        Draining,
        Stopped,
    };

    InstanceLifecycle();
    ~InstanceLifecycle();

    /// Reports that the instance can serve, since its tables are loaded.
    void ready();
    /// Reports that an operator or the platform has requested the instance to shut down.
    void leave();
    /// Reports that no requests are in flight any more, or that the time limit of the shutdown has passed.
    void drained();

    State state() const;

private:
    struct Machine;
    std::unique_ptr<Machine> machine;
};

} // namespace catkinlock
