#pragma once

#include "libsession/supply_process.h"
#include "libsession/supply_store.h"
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>

namespace catkinlock::simulation {

/// A call of an instance to the store that waits for its answer.
struct SupplyCall {
    SupplyCall(boost::asio::io_context& context, int instance, std::shared_ptr<SupplyProcess> process)
        : ended(context, boost::asio::steady_timer::time_point::max())
        , instance(instance)
        , process(std::move(process))
    {
    }
    /// Ends the call unless it has ended.
    void end(PlatformResult<SupplyAnswer> result)
    {
        if (this->outcome)
            return;
        this->outcome = std::move(result);
        this->ended.cancel();
    }

    /// Cancelled when the call has ended.
    boost::asio::steady_timer ended;
    const int instance;
    const std::shared_ptr<SupplyProcess> process;
    std::optional<PlatformResult<SupplyAnswer>> outcome;
    /// True if the call's connection has fallen silent.
    bool isSilent = false;
};

} // namespace catkinlock::simulation
