#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

namespace catkinlock {

class CallerProtocol;
class TargetProtocol;
class DocumentSource;
class PolledStore;
class PromotionService;
struct FrontSettings;

/// The adapters between the session layer and the outside: callers, database members, metadata store and platform.
struct SessionPlatform {
    std::shared_ptr<const CallerProtocol> callers;
    std::shared_ptr<const TargetProtocol> targets;
    std::shared_ptr<const DocumentSource> documents;
    std::shared_ptr<PolledStore> store;
    std::shared_ptr<PromotionService> promotions;
};

/// Creates the adapters of one kind of platform. Their asynchronous operations run on the given context.
using MakeSessionPlatform = SessionPlatform (*)(boost::asio::io_context&, const FrontSettings&);

} // namespace catkinlock
