// What can be wrong with a settings file.
#pragma once

#include <stdexcept>
#include <string>

namespace silverrail::config {

// Thrown where the first problem ends the reading. The text names the whole path of the key.
class ConfigError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
    // `path`: of the key, such as "settings.classes.0.aim".
    ConfigError(const std::string& path, const std::string& problem)
        : std::runtime_error(path + ": " + problem) {}
};

// One of several problems that are collected and reported together.
struct ConfigProblem {
    std::string file{};  // empty: the text was no file
    std::string path{};  // of the key, such as "trace.file_mb"; empty: the file as a whole
    std::string problem{};

    // "FILE: PATH: PROBLEM", less what is empty.
    std::string text() const {
        std::string out;
        for (const std::string* place : {&file, &path})
            if (!place->empty())
                out += *place + ": ";
        return out + problem;
    }
    bool operator==(const ConfigProblem&) const = default;
};

}  // namespace silverrail::config
