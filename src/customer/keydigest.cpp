#include "customer/keydigest.h"

#include <openssl/core_names.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <openssl/rand.h>

#include <cstdlib>
#include <memory>

namespace monsoon {

namespace {

constexpr size_t SecretBytes = 32;
using Secret = std::array<uint8_t, SecretBytes>;

Secret drawSecret() {
  Secret Result{};
  // Without random numbers the digests would be predictable.
  if (RAND_bytes(Result.data(), static_cast<int>(Result.size())) != 1)
    std::abort();
  return Result;
}

const Secret &secret() {
  static const Secret Value = drawSecret();
  return Value;
}

using MacContext = std::unique_ptr<EVP_MAC_CTX, decltype(&EVP_MAC_CTX_free)>;

/// A context that has the secret; finding the algorithm and hashing the secret
/// again for each key takes most of the time.
MacContext makeContext() {
  EVP_MAC *Mac = EVP_MAC_fetch(nullptr, OSSL_MAC_NAME_HMAC, nullptr);
  MacContext Result(EVP_MAC_CTX_new(Mac), &EVP_MAC_CTX_free);
  EVP_MAC_free(Mac);
  char Digest[] = "SHA256";
  const OSSL_PARAM Parameters[] = {
      OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, Digest, 0),
      OSSL_PARAM_construct_end()};
  if (!Result || EVP_MAC_init(Result.get(), secret().data(), secret().size(),
                              Parameters) != 1)
    std::abort();
  return Result;
}

} // namespace

KeyDigest KeyDigest::of(std::string_view Key) {
  thread_local const MacContext Context = makeContext();
  KeyDigest Result;
  size_t Length = 0;
  // Starts again with the same secret. A digest that could not be computed must
  // not be compared.
  if (EVP_MAC_init(Context.get(), nullptr, 0, nullptr) != 1 ||
      EVP_MAC_update(Context.get(),
                     reinterpret_cast<const unsigned char *>(Key.data()),
                     Key.size()) != 1 ||
      EVP_MAC_final(Context.get(), Result.m_Bytes.data(), &Length,
                    Result.m_Bytes.size()) != 1)
    std::abort();
  return Result;
}

} // namespace monsoon
