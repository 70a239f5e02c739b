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

/// The adapters through which sessions meet their surroundings.
struct SessionPlatform {
    std::shared_ptr<const CallerProtocol> callers;
    std::shared_ptr<const TargetProtocol> targets;
    std::shared_ptr<const DocumentSource> documents;
    std::shared_ptr<PolledStore> store;
    std::shared_ptr<PromotionService> promotions;
};

/// Makes the adapters of one kind of platform. What they do runs on the given context.
using MakeSessionPlatform = SessionPlatform (*)(boost::asio::io_context&, const FrontSettings&);

} // namespace catkinlock
