#pragma once

#include "libsession/forwarded_call.h"
#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

namespace catkinlock::wire {
class Envelope;
}

namespace catkinlock {

class PeerSender;
struct SessionContext;

/// Runs reads for other instances, as the gateway of their workspace and service. A read that can't be served is
/// refused at once, so that its instance runs it. The link is used on the control thread, the rest on the request
/// thread.
class ReadService : public std::enable_shared_from_this<ReadService> {
public:
    struct Parts {
        boost::asio::any_io_executor control;
        std::shared_ptr<PeerSender> link;
        std::shared_ptr<SessionContext> sessions;
        /// Random number of this process.
        std::uint64_t run = 0;
    };

    explicit ReadService(Parts);

    /// Runs the read and sends its reply to `sender`. A malformed request is ignored. On the control thread.
    void receiveRequest(const std::string& sender, const wire::ReadRequest&);

private:
    boost::asio::awaitable<void> serve(
        std::string sender, std::uint64_t id, ForwardedCall, TimePoint receivedAt, TimePoint deadline);
    bool isAvailable() const;
    void reportRunning(std::string address, std::uint64_t id, std::string request);
    void reply(std::string address, std::shared_ptr<wire::Envelope>);

    Parts parts;
    // Reads that are running.
    std::size_t running = 0;
};

} // namespace catkinlock
