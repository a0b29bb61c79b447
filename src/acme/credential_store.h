// The files in which the account's key and the certificate outlast the process.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace silverrail::acme {

inline constexpr const char* kAccountKeyFile = "account.key";
inline constexpr const char* kCertificateFile = "certificate.pem";
inline constexpr const char* kCertificateKeyFile = "certificate.key";

class CredentialStore {
public:
    // An empty folder stores nothing.
    explicit CredentialStore(std::string folder) : folder_(std::move(folder)) {}
    // Absent if there is no such file, or it cannot be opened.
    std::optional<std::string> load(const std::string& file) const;
    // Replaces the file as a whole; it is readable by its owner alone from its first byte on. Throws
    // store::FileError.
    void save(const std::string& file, std::string_view bytes) const;

private:
    std::string path_of(const std::string& file) const;

    std::string folder_;
};

}  // namespace silverrail::acme
