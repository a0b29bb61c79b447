// Keys, signatures and certificates for the ACME client, using OpenSSL. All keys are P-256 (ES256).
#pragma once

#include <openssl/evp.h>
#include <openssl/x509.h>

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

namespace silverrail::acme {

// An OpenSSL operation failed, or the input is not a valid key or certificate. Any function below may throw
// it.
struct CryptoError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

template <auto Free>
struct OpenSslDeleter {
    template <class T>
    void operator()(T* object) const {
        Free(object);
    }
};
using PrivateKey = std::unique_ptr<EVP_PKEY, OpenSslDeleter<EVP_PKEY_free>>;
using Certificate = std::unique_ptr<X509, OpenSslDeleter<X509_free>>;

// Returns 32 bytes.
std::string sha256(std::string_view bytes);

PrivateKey generate_key();
std::string key_to_pem(const PrivateKey& key);
PrivateKey key_from_pem(std::string_view pem);

// The public key as a JSON Web Key, with its members in the order required by RFC 7638.
std::string public_jwk(const PrivateKey& key);
// The thumbprint of the public key (RFC 7638), in base64url.
std::string jwk_thumbprint(const PrivateKey& key);
// ECDSA with SHA-256 in JWS format (RFC 7518, section 3.4): r and s concatenated, 64 bytes.
std::string sign_es256(const PrivateKey& key, std::string_view bytes);

// A certificate signing request (PKCS #10, DER) for one DNS name.
std::string signing_request(const PrivateKey& key, const std::string& domain);

// The first certificate of a PEM chain.
Certificate first_certificate(std::string_view pem);
bool matches_key(const Certificate& certificate, const PrivateKey& key);
bool matches_host(const Certificate& certificate, const std::string& domain);
// The validity period, in seconds of Unix time.
std::int64_t not_before(const Certificate& certificate);
std::int64_t not_after(const Certificate& certificate);

}  // namespace silverrail::acme
