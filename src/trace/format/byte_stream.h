// Sources and sinks of bytes: files, standard streams, memory.
#pragma once

#include <memory>
#include <string>

#include "trace/format/coding.h"
#include "trace/result.h"

namespace silverrail::trace {

// The environment failed: a file can't be opened, read or written.
struct IoError : TraceError {
    using TraceError::TraceError;
};

class ByteSink {
public:
    virtual ~ByteSink() = default;
    // Writes all bytes; throws IoError.
    virtual void write(ByteView bytes) = 0;
};

class ByteSource {
public:
    virtual ~ByteSource() = default;
    virtual std::uint64_t size() const = 0;
    // Reads `bytes` bytes, or fewer at the end of the source; throws IoError.
    virtual void read(std::uint64_t offset, std::size_t bytes, Bytes& out) const = 0;
};

class MemorySink : public ByteSink {
public:
    void write(ByteView bytes) override {
        bytes_.append(bytes);
    }
    Bytes& bytes() {
        return bytes_;
    }

private:
    Bytes bytes_;
};

class MemorySource : public ByteSource {
public:
    explicit MemorySource(Bytes bytes) : bytes_(std::move(bytes)) {}
    std::uint64_t size() const override {
        return bytes_.size();
    }
    void read(std::uint64_t offset, std::size_t bytes, Bytes& out) const override {
        out = offset < bytes_.size() ? bytes_.substr(offset, bytes) : Bytes{};
    }

private:
    Bytes bytes_;
};

// Unbuffered.
class FileSink : public ByteSink {
public:
    // Creates or truncates the file; `-` is standard output. Throws IoError.
    explicit FileSink(const std::string& path);
    ~FileSink() override;
    FileSink(const FileSink&) = delete;
    FileSink& operator=(const FileSink&) = delete;
    void write(ByteView bytes) override;

private:
    int fd_;
    std::string path_;
};

// `-` is standard input. That and other streams are read into memory, up to 4 GiB. Throws IoError.
std::unique_ptr<ByteSource> open_source(const std::string& path);

}  // namespace silverrail::trace
