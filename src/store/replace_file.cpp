#include "store/replace_file.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>

#include "store/file_descriptor.h"
#include "store/file_error.h"

namespace silverrail::store {

namespace {

// Makes a completed rename durable by syncing the folder.
void sync_folder_of(const std::string& path) {
    const auto slash = path.rfind('/');
    const std::string folder = slash == std::string::npos ? "." : path.substr(0, slash);
    const FileDescriptor file{::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC)};
    if (!file || ::fsync(file.get()) != 0)
        throw FileError(folder, errno);
}

bool write_all(const FileDescriptor& file, std::string_view bytes) {
    while (!bytes.empty()) {
        const auto written = ::write(file.get(), bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR)
            continue;
        if (written <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

// Writes the file, syncs it to disk and closes it. False: failed, with errno set.
bool write_durably(FileDescriptor& file, std::string_view bytes) {
    const bool written = ::fchmod(file.get(), 0600) == 0 && write_all(file, bytes);
    const bool synced = ::fsync(file.get()) == 0;
    const bool closed = file.close();
    return written && synced && closed;
}

}  // namespace

void replace_file(const std::string& path, std::string_view bytes) {
    const std::string scratch_path = path + ".new";
    ::unlink(scratch_path.c_str());
    FileDescriptor scratch{::open(scratch_path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, 0600)};
    if (!scratch)
        throw FileError(scratch_path, errno);
    if (!write_durably(scratch, bytes) || std::rename(scratch_path.c_str(), path.c_str()) != 0) {
        const int error = errno;
        ::unlink(scratch_path.c_str());
        throw FileError(path, error);
    }
    sync_folder_of(path);
}

}  // namespace silverrail::store
