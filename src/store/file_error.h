// A failed operation on a file.
#pragma once

#include <stdexcept>
#include <string>
#include <system_error>

namespace silverrail::store {

// Unlike a std::system_error, it never makes the program retry its start.
class FileError : public std::runtime_error {
public:
    // `what`: the path, followed by the operation unless it is obvious. `error`: an errno value.
    FileError(const std::string& what, int error)
        : std::runtime_error(what + ": " + std::generic_category().message(error)), error_(error) {}
    int error() const {
        return error_;
    }

private:
    int error_;
};

}  // namespace silverrail::store
