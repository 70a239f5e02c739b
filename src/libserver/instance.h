#pragma once

#include "catkinlock/group_gateway.h"
#include "catkinlock/instance_lifecycle.h"
#include "catkinlock/settings.h"
#include <memory>
#include <string>

namespace catkinlock {

/// One entry instance: everything that `catkinlock serve` runs.
class Instance {
public:
    Instance(Settings, GatewayOptions);
    ~Instance();

    /// Opens the sockets, starts the threads, and serves until SIGTERM, SIGINT or an operator's drain ends it. Returns
    /// the exit status of the process.
    int run();

private:
    struct Parts;
    std::unique_ptr<Parts> parts;
};

} // namespace catkinlock
