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

/// The implementations of the interfaces that depend on the platform: the protocols of callers and members, the source
/// of the stored documents' keys and formats, the metadata store and the promotion service.
struct SessionPlatform {
    std::shared_ptr<const CallerProtocol> callerProtocol;
    std::shared_ptr<const TargetProtocol> targetProtocol;
    std::shared_ptr<const DocumentSource> documentSource;
    std::shared_ptr<PolledStore> store;
    std::shared_ptr<PromotionService> promotions;
};

/// Function that creates the adapters of one platform. Their asynchronous operations run on the given context.
using SessionPlatformFactory = SessionPlatform (*)(boost::asio::io_context&, const FrontSettings&);

} // namespace catkinlock
