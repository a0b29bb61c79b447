#include "acme/crypto.h"

#include <openssl/bio.h>
#include <openssl/core_names.h>
#include <openssl/ec.h>
#include <openssl/ecdsa.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <array>
#include <ctime>

#include "acme/base64url.h"

namespace silverrail::acme {

namespace {

using Bio = std::unique_ptr<BIO, OpenSslDeleter<BIO_free_all>>;
using BigNumber = std::unique_ptr<BIGNUM, OpenSslDeleter<BN_free>>;
using Digest = std::unique_ptr<EVP_MD_CTX, OpenSslDeleter<EVP_MD_CTX_free>>;
using SigningRequest = std::unique_ptr<X509_REQ, OpenSslDeleter<X509_REQ_free>>;
using Signature = std::unique_ptr<ECDSA_SIG, OpenSslDeleter<ECDSA_SIG_free>>;

struct ExtensionsDeleter {
    void operator()(STACK_OF(X509_EXTENSION) * extensions) const {
        sk_X509_EXTENSION_pop_free(extensions, X509_EXTENSION_free);
    }
};
using Extensions = std::unique_ptr<STACK_OF(X509_EXTENSION), ExtensionsDeleter>;

constexpr int kCoordinateBytes = 32;  // of one coordinate of a P-256 point
constexpr std::size_t kSha256Bytes = 32;
constexpr std::size_t kMaxDerSignatureBytes = 128;

void require(bool succeeded, const char* error) {
    if (!succeeded)
        throw CryptoError(error);
}

Bio memory_reader(std::string_view bytes) {
    Bio bio{BIO_new_mem_buf(bytes.data(), static_cast<int>(bytes.size()))};
    require(bio != nullptr, "out of memory");
    return bio;
}

std::string coordinate(const PrivateKey& key, const char* name) {
    BIGNUM* raw = nullptr;
    require(EVP_PKEY_get_bn_param(key.get(), name, &raw) == 1, "key has no public key");
    const BigNumber number{raw};
    std::string bytes(kCoordinateBytes, '\0');
    require(BN_bn2binpad(number.get(), reinterpret_cast<unsigned char*>(bytes.data()), kCoordinateBytes) ==
                kCoordinateBytes,
            "key is not P-256");
    return bytes;
}

// Converts a DER signature to r and s, concatenated.
std::string raw_signature(std::string_view der) {
    const auto* next = reinterpret_cast<const unsigned char*>(der.data());
    const Signature signature{d2i_ECDSA_SIG(nullptr, &next, static_cast<long>(der.size()))};
    require(signature != nullptr, "cannot decode the DER signature");
    std::string out(static_cast<std::size_t>(2) * kCoordinateBytes, '\0');
    auto* r = reinterpret_cast<unsigned char*>(out.data());
    unsigned char* s = r + kCoordinateBytes;
    require(BN_bn2binpad(ECDSA_SIG_get0_r(signature.get()), r, kCoordinateBytes) == kCoordinateBytes &&
                BN_bn2binpad(ECDSA_SIG_get0_s(signature.get()), s, kCoordinateBytes) == kCoordinateBytes,
            "signature is not P-256");
    return out;
}

std::int64_t unix_seconds(const ASN1_TIME* time) {
    std::tm tm{};
    require(ASN1_TIME_to_tm(time, &tm) == 1, "certificate has an invalid validity period");
    return timegm(&tm);
}

}  // namespace

std::string sha256(std::string_view bytes) {
    std::array<unsigned char, kSha256Bytes> out{};
    require(EVP_Digest(bytes.data(), bytes.size(), out.data(), nullptr, EVP_sha256(), nullptr) == 1,
            "SHA-256 failed");
    return {reinterpret_cast<const char*>(out.data()), out.size()};
}

PrivateKey generate_key() {
    PrivateKey key{EVP_EC_gen("P-256")};
    require(key != nullptr, "cannot generate a P-256 key");
    return key;
}

std::string key_to_pem(const PrivateKey& key) {
    const Bio bio{BIO_new(BIO_s_mem())};
    require(bio && PEM_write_bio_PrivateKey(bio.get(), key.get(), nullptr, nullptr, 0, nullptr, nullptr) == 1,
            "cannot encode the key as PEM");
    char* data = nullptr;
    const long size = BIO_get_mem_data(bio.get(), &data);
    return {data, static_cast<std::size_t>(size)};
}

PrivateKey key_from_pem(std::string_view pem) {
    PrivateKey key{PEM_read_bio_PrivateKey(memory_reader(pem).get(), nullptr, nullptr, nullptr)};
    require(key != nullptr, "not a PEM private key");
    (void)coordinate(key, OSSL_PKEY_PARAM_EC_PUB_X);
    return key;
}

std::string public_jwk(const PrivateKey& key) {
    return R"({"crv":"P-256","kty":"EC","x":")" +
           encode_base64url(coordinate(key, OSSL_PKEY_PARAM_EC_PUB_X)) + R"(","y":")" +
           encode_base64url(coordinate(key, OSSL_PKEY_PARAM_EC_PUB_Y)) + R"("})";
}

std::string jwk_thumbprint(const PrivateKey& key) {
    return encode_base64url(sha256(public_jwk(key)));
}

std::string sign_es256(const PrivateKey& key, std::string_view bytes) {
    const Digest digest{EVP_MD_CTX_new()};
    require(digest && EVP_DigestSignInit(digest.get(), nullptr, EVP_sha256(), nullptr, key.get()) == 1,
            "cannot sign with ES256");
    std::array<unsigned char, kMaxDerSignatureBytes> der{};
    std::size_t size = der.size();
    const auto* input = reinterpret_cast<const unsigned char*>(bytes.data());
    require(EVP_DigestSign(digest.get(), der.data(), &size, input, bytes.size()) == 1,
            "cannot sign with ES256");
    return raw_signature({reinterpret_cast<const char*>(der.data()), size});
}

std::string signing_request(const PrivateKey& key, const std::string& domain) {
    const SigningRequest request{X509_REQ_new()};
    require(request && X509_REQ_set_version(request.get(), 0) == 1 &&
                X509_REQ_set_pubkey(request.get(), key.get()) == 1,
            "cannot create the certificate signing request");
    const Extensions extensions{sk_X509_EXTENSION_new_null()};
    const std::string names = "DNS:" + domain;
    X509_EXTENSION* alternative_names =
        X509V3_EXT_conf_nid(nullptr, nullptr, NID_subject_alt_name, names.c_str());
    require(
        extensions && alternative_names && sk_X509_EXTENSION_push(extensions.get(), alternative_names) > 0,
        "cannot add the DNS name to the certificate signing request");
    require(X509_REQ_add_extensions(request.get(), extensions.get()) == 1 &&
                X509_REQ_sign(request.get(), key.get(), EVP_sha256()) > 0,
            "cannot sign the certificate signing request");
    unsigned char* der = nullptr;
    const int size = i2d_X509_REQ(request.get(), &der);
    require(size > 0, "cannot encode the certificate signing request");
    std::string out{reinterpret_cast<char*>(der), static_cast<std::size_t>(size)};
    OPENSSL_free(der);
    return out;
}

Certificate first_certificate(std::string_view pem) {
    Certificate certificate{PEM_read_bio_X509(memory_reader(pem).get(), nullptr, nullptr, nullptr)};
    require(certificate != nullptr, "not a PEM certificate");
    return certificate;
}

bool matches_key(const Certificate& certificate, const PrivateKey& key) {
    return X509_check_private_key(certificate.get(), key.get()) == 1;
}

bool matches_host(const Certificate& certificate, const std::string& domain) {
    return X509_check_host(certificate.get(), domain.c_str(), 0, 0, nullptr) == 1;
}

std::int64_t not_before(const Certificate& certificate) {
    return unix_seconds(X509_get0_notBefore(certificate.get()));
}
std::int64_t not_after(const Certificate& certificate) {
    return unix_seconds(X509_get0_notAfter(certificate.get()));
}

}  // namespace silverrail::acme
