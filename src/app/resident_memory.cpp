#include "app/resident_memory.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cstdlib>

#include "store/file_descriptor.h"

namespace silverrail::app {

namespace {

#if defined(__SANITIZE_ADDRESS__)
constexpr bool kOwnMemoryOnly = false;
#else
constexpr bool kOwnMemoryOnly = true;
#endif

}  // namespace

// The second number of /proc/self/statm is the number of resident pages.
std::optional<std::size_t> resident_memory_bytes() {
    if (!kOwnMemoryOnly)
        return std::nullopt;
    const store::FileDescriptor file{::open("/proc/self/statm", O_RDONLY | O_CLOEXEC)};
    std::array<char, 128> text{};
    if (!file || ::read(file.get(), text.data(), text.size() - 1) <= 0)
        return std::nullopt;
    char* after_size = nullptr;
    (void)std::strtoull(text.data(), &after_size, 10);
    const auto pages = std::strtoull(after_size, nullptr, 10);
    if (pages == 0)
        return std::nullopt;
    return pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

}  // namespace silverrail::app
