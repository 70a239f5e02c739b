#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace catkinlock::standin {

/// Assigns new sessions to instances as the platform's balancer does: it asks each instance once a second whether it is
/// ready, and leaves out one that was not ready twice in a row until it is ready again. Not thread-safe.
class Balancer : public std::enable_shared_from_this<Balancer> {
public:
    Balancer(boost::asio::io_context&, unsigned seed);

    /// Adds an instance and starts asking it.
    void add(std::string callerAddress, std::string readyAddress);
    /// An instance for a new session; std::nullopt if none is in rotation.
    std::optional<std::size_t> choose();
    const std::string& callerAddress(std::size_t instance) const { return this->backends[instance].callerAddress; }

private:
    struct Backend {
        std::string callerAddress;
        std::string readyAddress;
        unsigned misses = 0;
        bool wasReady = false;
    };

    boost::asio::awaitable<void> probe(std::size_t instance);
    boost::asio::awaitable<bool> isReady(std::string address);

    boost::asio::io_context& context;
    std::vector<Backend> backends;
    std::minstd_rand random;
};

} // namespace catkinlock::standin
