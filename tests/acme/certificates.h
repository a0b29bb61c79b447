// Creates certificates for tests with OpenSSL.
#pragma once

#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <string>

#include "../silverrail/check.h"
#include "acme/crypto.h"

namespace silverrail::test {

inline std::string pem_of(X509* certificate) {
    BIO* bio = BIO_new(BIO_s_mem());
    CHECK(PEM_write_bio_X509(bio, certificate) == 1);
    char* data = nullptr;
    const long size = BIO_get_mem_data(bio, &data);
    std::string out{data, static_cast<std::size_t>(size)};
    BIO_free(bio);
    return out;
}

inline void set_common_name(X509* certificate, const std::string& name) {
    const auto* text = reinterpret_cast<const unsigned char*>(name.c_str());
    CHECK(X509_NAME_add_entry_by_txt(X509_get_subject_name(certificate), "CN", MBSTRING_ASC, text, -1, -1,
                                     0) == 1);
}

inline void add_extension(X509* certificate, X509* issuer, int id, const std::string& value) {
    X509V3_CTX context;
    X509V3_set_ctx_nodb(&context);
    X509V3_set_ctx(&context, issuer, certificate, nullptr, nullptr, 0);
    X509_EXTENSION* extension = X509V3_EXT_conf_nid(nullptr, &context, id, value.c_str());
    CHECK(extension != nullptr);
    X509_add_ext(certificate, extension, -1);
    X509_EXTENSION_free(extension);
}

struct CertificateRequest {
    EVP_PKEY* key = nullptr;  // of the subject
    std::string names{};      // such as "DNS:example.org"; may be empty
    X509* issuer = nullptr;   // null: self-signed
    EVP_PKEY* issuer_key = nullptr;
    long valid_for_s = 0;
    bool authority = false;
};

inline acme::Certificate make_certificate(const CertificateRequest& request) {
    static int serial = 0;
    acme::Certificate certificate{X509_new()};
    X509* const raw = certificate.get();
    X509* const issuer = request.issuer ? request.issuer : raw;
    X509_set_version(raw, 2);
    ASN1_INTEGER_set(X509_get_serialNumber(raw), ++serial);
    X509_gmtime_adj(X509_getm_notBefore(raw), 0);
    X509_gmtime_adj(X509_getm_notAfter(raw), request.valid_for_s);
    X509_set_pubkey(raw, request.key);
    set_common_name(raw, "stand-in " + (request.authority ? "authority" : std::to_string(serial)));
    X509_set_issuer_name(raw, X509_get_subject_name(issuer));
    add_extension(raw, issuer, NID_basic_constraints, request.authority ? "critical,CA:TRUE" : "CA:FALSE");
    if (!request.names.empty())
        add_extension(raw, issuer, NID_subject_alt_name, request.names);
    CHECK(X509_sign(raw, request.issuer_key, EVP_sha256()) > 0);
    return certificate;
}

}  // namespace silverrail::test
