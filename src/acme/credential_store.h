// Stores the account key, the certificate and its key in files, so that they survive a restart.
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
    // With an empty `folder`, nothing is stored.
    explicit CredentialStore(std::string folder) : folder_(std::move(folder)) {}
    // Returns std::nullopt if the file does not exist or cannot be opened.
    std::optional<std::string> load(const std::string& file) const;
    // Replaces the file atomically. It is never readable by anyone but its owner, not even while it is being
    // written. Throws store::FileError.
    void save(const std::string& file, std::string_view bytes) const;

private:
    std::string path_of(const std::string& file) const;

    std::string folder_;
};

}  // namespace silverrail::acme
