// The authority's side of JWS (RFC 7515): reads public keys from JSON and verifies signatures.
#pragma once

#include <json/json.h>
#include <openssl/core_names.h>
#include <openssl/ecdsa.h>
#include <openssl/param_build.h>

#include <string>

#include "acme/base64url.h"
#include "acme/crypto.h"

namespace silverrail::test {

inline std::string string_of(const Json::Value& json) {
    return json.isString() ? json.asString() : "";
}

// Returns null if the JSON Web Key is not a P-256 key.
inline acme::PrivateKey public_key(const Json::Value& jwk) {
    const auto x = acme::decode_base64url(string_of(jwk["x"]));
    const auto y = acme::decode_base64url(string_of(jwk["y"]));
    if (!x || !y || x->size() != 32 || y->size() != 32 || string_of(jwk["crv"]) != "P-256")
        return nullptr;
    const std::string point = "\x04" + *x + *y;
    OSSL_PARAM parameters[] = {
        OSSL_PARAM_construct_utf8_string(OSSL_PKEY_PARAM_GROUP_NAME, const_cast<char*>("P-256"), 0),
        OSSL_PARAM_construct_octet_string(OSSL_PKEY_PARAM_PUB_KEY, const_cast<char*>(point.data()),
                                          point.size()),
        OSSL_PARAM_construct_end()};
    EVP_PKEY_CTX* context = EVP_PKEY_CTX_new_from_name(nullptr, "EC", nullptr);
    EVP_PKEY* key = nullptr;
    EVP_PKEY_fromdata_init(context);
    EVP_PKEY_fromdata(context, &key, EVP_PKEY_PUBLIC_KEY, parameters);
    EVP_PKEY_CTX_free(context);
    return acme::PrivateKey{key};
}

// `raw`: r and s concatenated, 64 bytes.
inline bool is_signed_by(const acme::PrivateKey& key, const std::string& bytes, const std::string& raw) {
    if (!key || raw.size() != 64)
        return false;
    const auto* r = reinterpret_cast<const unsigned char*>(raw.data());
    ECDSA_SIG* signature = ECDSA_SIG_new();
    ECDSA_SIG_set0(signature, BN_bin2bn(r, 32, nullptr), BN_bin2bn(r + 32, 32, nullptr));
    unsigned char* der = nullptr;
    const int size = i2d_ECDSA_SIG(signature, &der);
    EVP_MD_CTX* digest = EVP_MD_CTX_new();
    const auto* input = reinterpret_cast<const unsigned char*>(bytes.data());
    const bool valid =
        EVP_DigestVerifyInit(digest, nullptr, EVP_sha256(), nullptr, key.get()) == 1 &&
        EVP_DigestVerify(digest, der, static_cast<std::size_t>(size), input, bytes.size()) == 1;
    EVP_MD_CTX_free(digest);
    OPENSSL_free(der);
    ECDSA_SIG_free(signature);
    return valid;
}

}  // namespace silverrail::test
