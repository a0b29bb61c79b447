#include "acme/crypto.h"

#include <openssl/bio.h>
#include <openssl/core_names.h>
#include <openssl/ec.h>
#include <openssl/ecdsa.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <array>
#include <ctime>

namespace silverrail::acme {

namespace {

using Bio = std::unique_ptr<BIO, Freed<BIO_free_all>>;
using Number = std::unique_ptr<BIGNUM, Freed<BN_free>>;
using Digest = std::unique_ptr<EVP_MD_CTX, Freed<EVP_MD_CTX_free>>;
using SigningRequest = std::unique_ptr<X509_REQ, Freed<X509_REQ_free>>;

constexpr int kCoordinate = 32;  // bytes of a P-256 number

void need(bool good, const char* what) {
    if (!good)
        throw CryptoError(what);
}

Bio reader(std::string_view bytes) {
    Bio bio{BIO_new_mem_buf(bytes.data(), static_cast<int>(bytes.size()))};
    need(bio != nullptr, "out of memory");
    return bio;
}

std::string coordinate(const Key& key, const char* name) {
    BIGNUM* raw = nullptr;
    need(EVP_PKEY_get_bn_param(key.get(), name, &raw) == 1, "key without a public part");
    const Number number{raw};
    std::string bytes(kCoordinate, '\0');
    need(BN_bn2binpad(number.get(), reinterpret_cast<unsigned char*>(bytes.data()), kCoordinate) ==
             kCoordinate,
         "key is not P-256");
    return bytes;
}

std::int64_t seconds(const ASN1_TIME* time) {
    std::tm tm{};
    need(ASN1_TIME_to_tm(time, &tm) == 1, "certificate without a time");
    return timegm(&tm);
}

}  // namespace

std::string base64url(std::string_view bytes) {
    static constexpr char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
    std::string out;
    std::uint32_t bits = 0;
    int held = 0;
    for (const unsigned char c : bytes) {
        bits = bits << 8 | c;
        held += 8;
        while (held >= 6)
            out += kDigits[bits >> (held -= 6) & 63];
    }
    if (held > 0)
        out += kDigits[bits << (6 - held) & 63];
    return out;
}

std::optional<std::string> from_base64url(std::string_view text) {
    std::string out;
    std::uint32_t bits = 0;
    int held = 0;
    for (const char c : text) {
        std::uint32_t value = 0;
        if (c >= 'A' && c <= 'Z')
            value = static_cast<std::uint32_t>(c - 'A');
        else if (c >= 'a' && c <= 'z')
            value = static_cast<std::uint32_t>(c - 'a' + 26);
        else if (c >= '0' && c <= '9')
            value = static_cast<std::uint32_t>(c - '0' + 52);
        else if (c == '-' || c == '_')
            value = c == '-' ? 62 : 63;
        else
            return std::nullopt;
        bits = bits << 6 | value;
        held += 6;
        if (held >= 8)
            out += static_cast<char>(bits >> (held -= 8) & 0xff);
    }
    if (text.size() % 4 == 1 || (bits & ((1u << held) - 1)) != 0)
        return std::nullopt;
    return out;
}

std::string sha256(std::string_view bytes) {
    std::array<unsigned char, 32> out{};
    need(EVP_Digest(bytes.data(), bytes.size(), out.data(), nullptr, EVP_sha256(), nullptr) == 1, "sha256");
    return {reinterpret_cast<const char*>(out.data()), out.size()};
}

Key new_key() {
    Key key{EVP_EC_gen("P-256")};
    need(key != nullptr, "no key made");
    return key;
}

std::string key_pem(const Key& key) {
    const Bio bio{BIO_new(BIO_s_mem())};
    need(bio && PEM_write_bio_PrivateKey(bio.get(), key.get(), nullptr, nullptr, 0, nullptr, nullptr) == 1,
         "key not written");
    char* data = nullptr;
    const long size = BIO_get_mem_data(bio.get(), &data);
    return {data, static_cast<std::size_t>(size)};
}

Key key_from_pem(std::string_view pem) {
    Key key{PEM_read_bio_PrivateKey(reader(pem).get(), nullptr, nullptr, nullptr)};
    need(key != nullptr, "not a key in PEM");
    (void)coordinate(key, OSSL_PKEY_PARAM_EC_PUB_X);
    return key;
}

std::string jwk(const Key& key) {
    return R"({"crv":"P-256","kty":"EC","x":")" + base64url(coordinate(key, OSSL_PKEY_PARAM_EC_PUB_X)) +
           R"(","y":")" + base64url(coordinate(key, OSSL_PKEY_PARAM_EC_PUB_Y)) + R"("})";
}

std::string thumbprint(const Key& key) {
    return base64url(sha256(jwk(key)));
}

std::string sign(const Key& key, std::string_view bytes) {
    const Digest digest{EVP_MD_CTX_new()};
    std::array<unsigned char, 128> der{};
    std::size_t size = der.size();
    need(digest && EVP_DigestSignInit(digest.get(), nullptr, EVP_sha256(), nullptr, key.get()) == 1 &&
             EVP_DigestSign(digest.get(), der.data(), &size,
                            reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size()) == 1,
         "not signed");
    const unsigned char* at = der.data();
    const std::unique_ptr<ECDSA_SIG, Freed<ECDSA_SIG_free>> pair{
        d2i_ECDSA_SIG(nullptr, &at, static_cast<long>(size))};
    need(pair != nullptr, "not signed");
    std::string out(2 * kCoordinate, '\0');
    auto* to = reinterpret_cast<unsigned char*>(out.data());
    need(BN_bn2binpad(ECDSA_SIG_get0_r(pair.get()), to, kCoordinate) == kCoordinate &&
             BN_bn2binpad(ECDSA_SIG_get0_s(pair.get()), to + kCoordinate, kCoordinate) == kCoordinate,
         "not signed");
    return out;
}

std::string signing_request(const Key& key, const std::string& name) {
    const SigningRequest request{X509_REQ_new()};
    need(request && X509_REQ_set_version(request.get(), 0) == 1 &&
             X509_REQ_set_pubkey(request.get(), key.get()) == 1,
         "no signing request");
    const std::string names = "DNS:" + name;
    std::unique_ptr<STACK_OF(X509_EXTENSION), void (*)(STACK_OF(X509_EXTENSION)*)> extensions{
        sk_X509_EXTENSION_new_null(), [](STACK_OF(X509_EXTENSION) * s) {
            sk_X509_EXTENSION_pop_free(s, X509_EXTENSION_free);
        }};
    X509_EXTENSION* alt = X509V3_EXT_conf_nid(nullptr, nullptr, NID_subject_alt_name, names.c_str());
    need(extensions && alt && sk_X509_EXTENSION_push(extensions.get(), alt) > 0, "no name in the request");
    need(X509_REQ_add_extensions(request.get(), extensions.get()) == 1 &&
             X509_REQ_sign(request.get(), key.get(), EVP_sha256()) > 0,
         "signing request not signed");
    unsigned char* der = nullptr;
    const int size = i2d_X509_REQ(request.get(), &der);
    need(size > 0, "signing request not written");
    std::string out{reinterpret_cast<char*>(der), static_cast<std::size_t>(size)};
    OPENSSL_free(der);
    return out;
}

Certificate first_certificate(std::string_view pem) {
    Certificate certificate{PEM_read_bio_X509(reader(pem).get(), nullptr, nullptr, nullptr)};
    need(certificate != nullptr, "not a certificate in PEM");
    return certificate;
}

bool belongs(const Certificate& certificate, const Key& key) {
    return X509_check_private_key(certificate.get(), key.get()) == 1;
}

std::int64_t not_before(const Certificate& certificate) {
    return seconds(X509_get0_notBefore(certificate.get()));
}
std::int64_t not_after(const Certificate& certificate) {
    return seconds(X509_get0_notAfter(certificate.get()));
}

}  // namespace silverrail::acme
