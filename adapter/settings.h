// Start-up settings as the wire gives them (path=value pairs) into silverrail::routing::Settings.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "silverrail/routing/router.h"

namespace silverrail::routing::adapter {

// A key that is needed and absent, or any key read whose value makes no sense. what() names the key.
class SettingsError : public std::runtime_error {
    using std::runtime_error::runtime_error;
};

Settings parse_settings(const std::vector<std::string_view>& pairs);

// Whole text as a number; throws std::invalid_argument.
double to_double(std::string_view text);
std::int64_t to_integer(std::string_view text);
std::vector<std::string_view> split(std::string_view text, char at);

}  // namespace silverrail::routing::adapter
