// How the limits of the configuration are divided among the program's modules.
#pragma once

#include <string>

#include "config/config.h"
#include "config/operator_settings.h"
#include "copies/copies.h"
#include "members/shares.h"
#include "net/connection_pool.h"
#include "net/http_server.h"

namespace silverrail::app {

// What all processes of this router together may use.
members::Whole total_resources(const config::Config& config, const config::OperatorSettings& settings);

net::ConnectionPoolLimits pool_limits(const config::Config& config, const members::Shares& shares);
net::HttpLimits client_limits(const config::Config& config, const members::Shares& shares);
copies::Limits cache_limits(const config::Config& config, const members::Shares& shares);

// The path of a file that all processes of one router share. They are told from other routers by the clients'
// address, which the name contains. Empty if `folder` is.
std::string shared_file_path(const std::string& folder, const std::string& clients_address,
                             const std::string& extension);

}  // namespace silverrail::app
