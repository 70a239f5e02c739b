#pragma once

#include <memory>
#include <urcu/urcu-memb.h>

namespace catkinlock {

/// Registers the calling thread as a reader of snapshots for as long as it lives.
inline void registerSnapshotReader()
{
    struct Registration {
        Registration() { urcu_memb_register_thread(); }
        ~Registration() { urcu_memb_unregister_thread(); }
    };
    static thread_local Registration registration;
}

/// An immutable value that readers take without a lock while one writer replaces it (read-copy-update). A reader keeps
/// what it took for as long as it likes.
template <typename T> class RcuSnapshot {
public:
    explicit RcuSnapshot(T first = {})
        : current(new Pointer(std::make_shared<const T>(std::move(first))))
    {
    }
    ~RcuSnapshot() { delete this->current; }
    RcuSnapshot(const RcuSnapshot&) = delete;
    RcuSnapshot& operator=(const RcuSnapshot&) = delete;

    std::shared_ptr<const T> read() const
    {
        registerSnapshotReader();
        urcu_memb_read_lock();
        Pointer taken = *rcu_dereference(this->current);
        urcu_memb_read_unlock();
        return taken;
    }

    /// Only one thread may replace.
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
