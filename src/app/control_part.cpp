#include "app/control_part.h"

#include "app/endpoint.h"

namespace silverrail::app {

net::tcp::endpoint control_endpoint(const std::string& at) {
    try {
        return endpoint_of(at);
    } catch (const std::exception& e) {
        throw config::ConfigError(std::string{"control: "} + e.what());
    }
}

ControlPart::ControlPart(Dependencies dependencies, const std::string& address,
                         std::size_t max_connections) try
    : admin_(dependencies.engine, dependencies.overrides, dependencies.lifecycle, dependencies.log,
             std::move(dependencies.cluster)),
      server_(
          dependencies.io, control_endpoint(address), {.connections = max_connections},
          [this](std::string_view line, bool terminated) { return admin_.answer(line, terminated); },
          dependencies.log) {
    server_.when_out_of_descriptors(std::move(dependencies.free_descriptors));
} catch (const boost::system::system_error& e) {
    throw config::ConfigError("control: cannot listen at " + address + ": " + e.code().message());
}

}  // namespace silverrail::app
