// The primaries of two groups are to be replaced, one shortly after the other. Between the two orders, the path from
// the leader's machine to the platform's promotion call is cut for 5.5 s: new connections hang, and what is sent on an
// open one arrives after the cut. Checks that the platform sees no order with a lower fencing token than one before.
#include "fleet.h"
#include <boost/json/src.hpp>

using namespace review;

namespace {

// A path between one machine and the platform's promotion call, which can be cut.
class Path : public std::enable_shared_from_this<Path> {
public:
    Path(asio::io_context& context, std::string target)
        : context(context)
        , target(std::move(target))
        , acceptor(context)
    {
        this->acceptor.open(tcp::v4());
        this->acceptor.bind(tcp::endpoint(asio::ip::make_address("127.0.0.1"), freePort(context)));
        // With the smallest queue, one connection that isn't accepted makes the kernel drop further opening packets.
        this->acceptor.listen(0);
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()); }

    void run()
    {
        auto self = this->shared_from_this();
        start(this->context, [self] { return self->accept(); });
    }

    void cut()
    {
        this->isCut = true;
        boost::system::error_code ignored;
        this->acceptor.cancel(ignored);
        for (int i = 0; i < 2; ++i) {
            this->fillers.push_back(std::make_shared<tcp::socket>(this->context));
            this->fillers.back()->open(tcp::v4());
            this->fillers.back()->async_connect(this->acceptor.local_endpoint(), [](boost::system::error_code) { });
        }
    }

    void heal()
    {
        this->isCut = false;
        this->fillers.clear();
    }

private:
    asio::awaitable<void> accept()
    {
        auto self = this->shared_from_this();
        for (;;) {
            while (this->isCut)
                co_await pause(Ms(10));
            auto [error, accepted] = co_await this->acceptor.async_accept(asTuple());
            if (error)
                continue;
            auto near = std::make_shared<tcp::socket>(std::move(accepted));
            auto far = std::make_shared<tcp::socket>(this->context);
            std::size_t colon = this->target.find(':');
            auto port = static_cast<unsigned short>(std::stoi(this->target.substr(colon + 1)));
            auto [connectError] = co_await far->async_connect(
                tcp::endpoint(asio::ip::make_address(this->target.substr(0, colon)), port), asTuple());
            if (connectError)
                continue;
            start(this->context, [self, near, far] { return self->relay(near, far); });
            start(this->context, [self, near, far] { return self->relay(far, near); });
        }
    }

    // Bytes that were sent during a cut wait in the socket until it has healed.
    asio::awaitable<void> relay(std::shared_ptr<tcp::socket> from, std::shared_ptr<tcp::socket> to)
    {
        auto self = this->shared_from_this();
        std::string chunk(8192, '\0');
        boost::system::error_code ignored;
        for (;;) {
            auto [waitError] = co_await from->async_wait(tcp::socket::wait_read, asTuple());
            while (this->isCut)
                co_await pause(Ms(5));
            if (waitError)
                co_return;
            auto [error, size] = co_await from->async_read_some(asio::buffer(chunk), asTuple());
            if (error)
                break;
            auto [writeError, written] = co_await asio::async_write(*to, asio::buffer(chunk, size), asTuple());
            if (writeError)
                break;
        }
        to->shutdown(tcp::socket::shutdown_send, ignored);
    }

    asio::io_context& context;
    std::string target;
    tcp::acceptor acceptor;
    std::vector<std::shared_ptr<tcp::socket>> fillers;
    bool isCut = false;
};

asio::awaitable<void> runClient(Fleet& fleet, std::shared_ptr<Front> front, std::string database)
{
    for (;;) {
        Session session(fleet.context);
        bool open = co_await session.open(front->callers, database, "key1");
        for (int i = 0; open && i < 20; ++i) {
            Reply reply = co_await session.query(fleet.nextId(), i % 5 ? "READ item1" : "WRITE item1 data");
            open = reply.complete;
            co_await pause(Ms(reply.done ? 100 : 200));
        }
        co_await pause(Ms(50));
    }
}

Member* primaryOf(Group& group)
{
    Member* found = nullptr;
    for (const auto& member : group.members) {
        if (member->primary && (!found || member->term > found->term))
            found = member.get();
    }
    return found;
}

// Planned: the primary announces that it leaves, and serves on until another member leads.
void release(Fleet& fleet, Group& group)
{
    Member* primary = primaryOf(group);
    if (!primary)
        return;
    fleet.record.write(primary->id + " (primary of " + group.service + ") is draining");
    primary->draining = true;
}

asio::awaitable<void> play(Fleet& fleet, std::map<std::string, std::shared_ptr<Path>>& paths, bool trouble)
{
    if (!co_await fleet.awaitReady())
        fleet.end(2);
    for (const auto& front : fleet.fronts) {
        start(fleet.context, [&fleet, front] { return runClient(fleet, front, "orders"); });
        start(fleet.context, [&fleet, front] { return runClient(fleet, front, "stock"); });
    }
    co_await pause(Ms(4000));
    release(fleet, fleet.group);
    for (int i = 0; i < 600 && fleet.store->orders.empty(); ++i)
        co_await pause(Ms(10));
    if (fleet.store->orders.empty())
        fleet.end(2);
    std::string leader = fleet.store->orders.front().holder;
    // The answer to the first order has arrived.
    co_await pause(Ms(300));
    if (trouble) {
        fleet.record.write("the path from " + leader + " to the promotion call is cut");
        paths[leader]->cut();
    }
    release(fleet, *fleet.second);
    co_await pause(Ms(5500));
    if (trouble) {
        paths[leader]->heal();
        fleet.record.write("the path from " + leader + " to the promotion call has healed");
    }
    co_await pause(Ms(10000));
    fleet.record.write("orders " + std::to_string(fleet.store->orders.size()) + ", with a lower token than before "
        + std::to_string(fleet.store->lowerTokens));
    bool ran = fleet.store->orders.size() >= 2;
    fleet.end(fleet.store->lowerTokens ? 1 : ran ? 0 : 2);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 4)
        return 2;
    Fleet fleet(argv[1], argv[2]);
    std::map<std::string, std::shared_ptr<Path>> paths;
    fleet.addSecondGroup("svc2");
    fleet.pathToPromotions = [&fleet, &paths](const Front& front) {
        auto path = std::make_shared<Path>(fleet.context, fleet.store->address());
        paths[front.name] = path;
        path->run();
        return path->address();
    };
    fleet.run(4);
    bool trouble = std::string(argv[3]) != "0";
    start(fleet.context, [&fleet, &paths, trouble] { return play(fleet, paths, trouble); });
    fleet.context.run();
}
