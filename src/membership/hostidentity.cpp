#include "membership/hostidentity.h"

#include "core/text.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace monsoon {

namespace {

/// These end the name of the process, the link and the failure domain.
constexpr char LinkSeparator = '~';
constexpr char DomainSeparator = '/';
constexpr char PeerAddressSeparator = '@';

} // namespace

std::string encodeHostIdentity(const HostIdentity &Id) {
  return absl::StrCat(Id.m_Process, std::string(1, LinkSeparator),
                      shortestText(Id.m_LinkMbps),
                      std::string(1, DomainSeparator), Id.m_FailureDomain,
                      std::string(1, PeerAddressSeparator), Id.m_PeerAddress);
}

std::optional<HostIdentity> decodeHostIdentity(std::string_view Text) {
  const size_t AddressAt = Text.rfind(PeerAddressSeparator);
  if (AddressAt == std::string_view::npos)
    return std::nullopt;
  HostIdentity Result;
  Result.m_PeerAddress = Text.substr(AddressAt + 1);
  std::string_view Rest = Text.substr(0, AddressAt);
  const size_t DomainAt = Rest.find(DomainSeparator);
  if (DomainAt != std::string_view::npos) {
    Result.m_FailureDomain = Rest.substr(DomainAt + 1);
    Rest = Rest.substr(0, DomainAt);
    const size_t LinkAt = Rest.rfind(LinkSeparator);
    if (LinkAt != std::string_view::npos) {
      if (!absl::SimpleAtod(toAbsl(Rest.substr(LinkAt + 1)),
                            &Result.m_LinkMbps))
        Result.m_LinkMbps = 0;
      Rest = Rest.substr(0, LinkAt);
    }
  }
  Result.m_Process = Rest;
  return Result;
}

} // namespace monsoon
