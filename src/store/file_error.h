// An operation on a file that the operating system refused.
#pragma once

#include <stdexcept>
#include <string>
#include <system_error>

namespace silverrail::store {

// Unlike std::system_error, it never causes a failed start of the program to be tried again.
class FileError : public std::runtime_error {
public:
    // `what`: the path, and the operation where that is not obvious. `error`: an errno.
    FileError(const std::string& what, int error)
        : std::runtime_error(what + ": " + std::generic_category().message(error)), error_(error) {}
    int error() const {
        return error_;
    }

private:
    int error_;
};

}  // namespace silverrail::store
