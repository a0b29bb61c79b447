#include "app/signals.h"

#include <csignal>

namespace silverrail::app {

namespace {

constexpr int kHandledSignals[] = {SIGTERM, SIGINT, SIGHUP, SIGUSR1, SIGUSR2};

void mask_signals(int how) {
    sigset_t set;
    sigemptyset(&set);
    for (const int signal : kHandledSignals)
        sigaddset(&set, signal);
    ::pthread_sigmask(how, &set, nullptr);
}

}  // namespace

void block_signals() {
    mask_signals(SIG_BLOCK);
}

void unblock_signals() {
    mask_signals(SIG_UNBLOCK);
}

SignalDispatcher::SignalDispatcher(net::asio::io_context& io, SignalActions actions)
    : signals_(io), actions_(std::move(actions)) {
    for (const int signal : kHandledSignals)
        signals_.add(signal);
}

void SignalDispatcher::wait() {
    signals_.async_wait([this](const net::error_code& error, int signal) {
        if (error)
            return;
        dispatch(signal);
        wait();
    });
}

void SignalDispatcher::dispatch(int signal) {
    switch (signal) {
        case SIGHUP:
            return actions_.reload();
        case SIGUSR1:
            return actions_.print_counters();
        case SIGUSR2:
            return actions_.dump();
        default:
            return actions_.terminate();
    }
}

}  // namespace silverrail::app
