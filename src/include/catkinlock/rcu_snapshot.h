#pragma once

#include <memory>
#include <urcu/urcu-memb.h>

namespace catkinlock {

/// Registers the calling thread as an RCU reader until the thread exits. Further calls on the same thread have no
/// effect.
inline void registerSnapshotReader()
{
    struct Registration {
        Registration() { urcu_memb_register_thread(); }
        ~Registration() { urcu_memb_unregister_thread(); }
    };
    static thread_local Registration registration;
}

/// Publishes an immutable value by read-copy-update: readers obtain the current version without a lock while a single
/// writer replaces it. A version stays valid for as long as a reader holds its pointer.
template <typename T> class RcuSnapshot {
public:
    explicit RcuSnapshot(T initial = {})
        : current(new Pointer(std::make_shared<const T>(std::move(initial))))
    {
    }
    ~RcuSnapshot() { delete this->current; }
    RcuSnapshot(const RcuSnapshot&) = delete;
    RcuSnapshot& operator=(const RcuSnapshot&) = delete;

    /// Returns the current version. Any thread.
    std::shared_ptr<const T> read() const
    {
        registerSnapshotReader();
        urcu_memb_read_lock();
        Pointer snapshot = *rcu_dereference(this->current);
        urcu_memb_read_unlock();
        return snapshot;
    }

    /// Publishes a new version and waits until no reader is still copying the pointer to the previous one. Only
    /// one thread may call this.
    void replace(T value)
    {
        registerSnapshotReader();
        Pointer* old = this->current;
        rcu_assign_pointer(this->current, new Pointer(std::make_shared<const T>(std::move(value))));
        urcu_memb_synchronize_rcu();
        delete old;
    }

private:
    using Pointer = std::shared_ptr<const T>;
    Pointer* current;
};

} // namespace catkinlock
