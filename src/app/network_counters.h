// Counters of the network modules as text: "PREFIX.NAME VALUE", one a line.
#pragma once

#include <string>

#include "limits/memory_budget.h"
#include "net/discovery_watch.h"
#include "net/http_server.h"

namespace silverrail::app {

std::string client_counters(const net::HttpServer& server);
std::string memory_counters(const limits::MemoryBudget& memory, const net::HttpServer& server);
std::string event_loop_counters(const net::HttpServer& server);
std::string discovery_counters(const net::DiscoveryWatch::Counters& counters);

}  // namespace silverrail::app
