// Keys, signatures and certificates for the ACME client, by OpenSSL. P-256 throughout (ES256).
#pragma once

#include <openssl/evp.h>
#include <openssl/x509.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace silverrail::acme {

struct CryptoError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

template <auto Free>
struct Freed {
    template <class T>
    void operator()(T* p) const {
        Free(p);
    }
};
using Key = std::unique_ptr<EVP_PKEY, Freed<EVP_PKEY_free>>;
using Certificate = std::unique_ptr<X509, Freed<X509_free>>;

std::string base64url(std::string_view bytes);
std::optional<std::string> from_base64url(std::string_view text);
std::string sha256(std::string_view bytes);

Key new_key();
std::string key_pem(const Key& key);
Key key_from_pem(std::string_view pem);  // throws
// The public key as a JSON Web Key, members in the order that RFC 7638 wants.
std::string jwk(const Key& key);
std::string thumbprint(const Key& key);                    // base64url
std::string sign(const Key& key, std::string_view bytes);  // r and s, 64 bytes

// A signing request in DER for one DNS name.
std::string signing_request(const Key& key, const std::string& name);
// The first certificate of a PEM chain; throws.
Certificate first_certificate(std::string_view pem);
bool belongs(const Certificate& certificate, const Key& key);
std::int64_t not_before(const Certificate& certificate);  // Unix seconds
std::int64_t not_after(const Certificate& certificate);

}  // namespace silverrail::acme
