// POSIX signals as events of the event loop.
#pragma once

#include <functional>

#include "net/asio.h"

namespace silverrail::app {

// Holds back the signals that SignalDispatcher handles, so that one that arrives during the start is
// delivered once the program is ready for it. Applies to the calling thread and those it starts.
void block_signals();
void unblock_signals();

struct SignalActions {
    std::function<void()> terminate;       // SIGTERM, SIGINT
    std::function<void()> reload;          // SIGHUP
    std::function<void()> print_counters;  // SIGUSR1
    std::function<void()> dump;            // SIGUSR2
};

// Calls an action on the event loop for each signal that is delivered.
class SignalDispatcher {
public:
    // Installs the handlers; signals are queued until start().
    SignalDispatcher(net::asio::io_context& io, SignalActions actions);
    void start() {
        wait();
    }

private:
    void wait();
    void dispatch(int signal);

    net::asio::signal_set signals_;
    SignalActions actions_;
};

}  // namespace silverrail::app
