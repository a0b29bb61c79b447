#include "lab/faults/control.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <new>
#include <system_error>

namespace silverrail::lab {

FaultFile::FaultFile(std::string path) : path_(std::move(path)) {
    const int fd = ::open(path_.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_TRUNC, 0600);
    if (fd < 0)
        throw std::system_error(errno, std::generic_category(), path_);
    void* at = MAP_FAILED;
    if (::ftruncate(fd, sizeof(FaultControl)) == 0)
        at = ::mmap(nullptr, sizeof(FaultControl), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    const int error = errno;
    ::close(fd);
    if (at == MAP_FAILED)
        throw std::system_error(error, std::generic_category(), path_);
    control_ = new (at) FaultControl{};
}

FaultFile::~FaultFile() {
    ::munmap(control_, sizeof(FaultControl));
}

void FaultFile::clear_chances() {
    for (auto& chance : control_->chance)
        chance = 0;
}

void FaultFile::set_environment(const std::string& library, std::uint64_t seed) const {
    ::setenv("LD_PRELOAD", library.c_str(), 1);
    ::setenv(kFaultFileVariable, path_.c_str(), 1);
    ::setenv(kFaultSeedVariable, std::to_string(seed).c_str(), 1);
    // A sanitized program wants its own runtime first; the wrappers here call on to that.
    const char* given = std::getenv("ASAN_OPTIONS");
    const std::string options = given && *given ? std::string{given} + ":" : std::string{};
    ::setenv("ASAN_OPTIONS", (options + "verify_asan_link_order=0").c_str(), 1);
}

}  // namespace silverrail::lab
