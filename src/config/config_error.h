// Errors in a settings file.
#pragma once

#include <stdexcept>
#include <string>

namespace silverrail::config {

// Thrown by parsers that stop at the first problem. The message contains the full path of the key.
class ConfigError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
    // `path`: of the key, such as "settings.classes.0.aim".
    ConfigError(const std::string& path, const std::string& problem)
        : std::runtime_error(path + ": " + problem) {}
};

// One problem in a settings file; parsers that continue after a problem collect all and report them together.
struct ConfigProblem {
    std::string file{};  // empty: the input was not read from a file
    std::string path{};  // of the key, such as "trace.file_mb"; empty: the whole file
    std::string problem{};

    // "FILE: PATH: PROBLEM", without the empty parts.
    std::string text() const {
        std::string out;
        for (const std::string* prefix : {&file, &path})
            if (!prefix->empty())
                out += *prefix + ": ";
        return out + problem;
    }
    bool operator==(const ConfigProblem&) const = default;
};

}  // namespace silverrail::config
