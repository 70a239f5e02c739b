#include "catkinlock/process_signals.h"

#include <boost/asio.hpp>
#include <csignal>
#include <pthread.h>
#include <sys/signalfd.h>

namespace catkinlock {

namespace asio = boost::asio;

namespace {

    sigset_t handledSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        for (int signal : { SIGTERM, SIGINT, SIGHUP })
            sigaddset(&signals, signal);
        return signals;
    }

    int openDescriptor()
    {
        ProcessSignals::block();
        sigset_t signals = handledSignals();
        return signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    }

} // namespace

void ProcessSignals::block()
{
    sigset_t signals = handledSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

ProcessSignals::ProcessSignals(asio::io_context& context)
    : descriptor(context, openDescriptor())
{
}

asio::awaitable<int> ProcessSignals::next()
{
    signalfd_siginfo info {};
    co_await this->descriptor.async_read_some(asio::buffer(&info, sizeof info), asio::use_awaitable);
    co_return static_cast<int>(info.ssi_signo);
}

} // namespace catkinlock
