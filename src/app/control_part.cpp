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

ControlPart::ControlPart(World world, const std::string& at, std::size_t most_callers) try
    : admin_(world.engine, world.hands, world.lifecycle, world.log, std::move(world.fleet)),
      server_(
          world.io, control_endpoint(at), {.connections = most_callers},
          [this](std::string_view line, bool ended) { return admin_.answer(line, ended); }, world.log) {
    server_.when_out_of_descriptors(std::move(world.shed));
} catch (const boost::system::system_error& e) {
    throw config::ConfigError("control: cannot listen at " + at + ": " + e.code().message());
}

}  // namespace silverrail::app
