// How the limits of the configuration are divided among the program's modules.
#pragma once

#include <string>

#include "cache/response_cache.h"
#include "config/config.h"
#include "config/operator_settings.h"
#include "limits/process_quota.h"
#include "net/connection_pool.h"
#include "net/http_server.h"

namespace silverrail::app {

// What all processes of this router together may use.
limits::RouterLimits total_resources(const config::Config& config, const config::OperatorSettings& settings);

net::ConnectionPoolLimits pool_limits(const config::Config& config, const limits::ProcessQuota& quota);
// Whether another process of this router may listen at its addresses.
net::Port port_sharing(const config::Config& config);
net::HttpLimits client_limits(const config::Config& config, const limits::ProcessQuota& quota);
cache::CacheLimits cache_limits(const config::Config& config, const limits::ProcessQuota& quota);

// The path of a file that all processes of one router share. The file's name contains the clients' address,
// by which routers differ. Empty if `folder` is.
std::string shared_file_path(const std::string& folder, const std::string& clients_address,
                             const std::string& extension);

}  // namespace silverrail::app
