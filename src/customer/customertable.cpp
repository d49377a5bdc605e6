#include "customer/customertable.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace monsoon {

namespace {

constexpr size_t MaxNameBytes = 256;
constexpr size_t MaxKeyBytes = 512;
/// More than all entry hosts together serve.
constexpr double MaxPerSecond = 1e9;
constexpr int MaxPriority = 1'000'000;

/// True for printable ASCII characters other than the space. Anything else
/// could end or change a header field.
bool isVisible(const std::string &Text) {
  return std::all_of(Text.begin(), Text.end(),
                     [](char Each) { return Each > ' ' && Each < '\x7f'; });
}

/// True if the text can be the value of a header field: visible, with single
/// spaces inside.
bool isFieldValue(const std::string &Text) {
  if (Text.empty() || Text.front() == ' ' || Text.back() == ' ')
    return false;
  return std::all_of(Text.begin(), Text.end(),
                     [](char Each) { return Each >= ' ' && Each < '\x7f'; });
}

bool isInRange(double Value) {
  return std::isfinite(Value) && Value >= 0 && Value <= MaxPerSecond;
}

} // namespace

const Customer *CustomerTable::find(const KeyDigest &Key) const {
  const auto Found = m_ByKey.find(Key);
  return Found == m_ByKey.end() ? nullptr : &m_Customers[Found->second];
}

const Customer *CustomerTable::findByName(std::string_view Name) const {
  const auto Found = m_ByName.find(std::string(Name));
  return Found == m_ByName.end() ? nullptr : &m_Customers[Found->second];
}

CustomerTable::Builder::Builder() : m_Table(new CustomerTable) {}

CustomerTable::Builder &
CustomerTable::Builder::add(Customer Value,
                            const std::vector<std::string> &Keys) {
  checkCustomer(Value);
  const size_t Index = m_Table->m_Customers.size();
  if (!m_Table->m_ByName.emplace(Value.m_Name, Index).second)
    reportFault(Value.m_Name, "another customer has the same name");
  for (const std::string &Each : Keys)
    addKey(Each, Value.m_Name, Index);
  m_Table->m_Customers.push_back(std::move(Value));
  return *this;
}

void CustomerTable::Builder::checkCustomer(const Customer &Value) {
  const std::string &Name = Value.m_Name;
  if (!isFieldValue(Name) || Name.size() > MaxNameBytes)
    reportFault("", absl::StrCat("a name is not 1 to ", MaxNameBytes,
                                 " printable ASCII characters"));
  const int Priority = Value.m_Priority.value_or(0);
  if (Priority < 0 || Priority > MaxPriority)
    reportFault(Name,
                absl::StrCat("the priority is not within 0 to ", MaxPriority));
  const Allowance &Limit = Value.m_Allowance;
  if (!isInRange(Limit.m_PerSecond))
    reportFault(Name, "the rate is negative or too large");
  if (!isInRange(Limit.m_Burst))
    reportFault(Name, "the burst is negative or too large");
  if (Limit.m_Burst > 0 && !Limit.isLimited())
    reportFault(Name, "there is a burst but no rate");
}

void CustomerTable::Builder::addKey(const std::string &Key,
                                    const std::string &Owner, size_t Index) {
  if (Key.empty() || Key.size() > MaxKeyBytes || !isVisible(Key)) {
    reportFault(Owner, absl::StrCat("a key is not 1 to ", MaxKeyBytes,
                                    " visible ASCII characters"));
    return;
  }
  const auto [Place, IsNew] =
      m_Table->m_ByKey.emplace(KeyDigest::of(Key), Index);
  if (!IsNew && Place->second != Index)
    reportFault(Owner, "another customer holds one of its keys");
}

void CustomerTable::Builder::reportFault(const std::string &Customer,
                                         const std::string &Detail) {
  if (!m_Fault.empty())
    return;
  m_Fault = Customer.empty()
                ? absl::StrCat("customers: ", Detail)
                : absl::StrCat("customer ", Customer, ": ", Detail);
}

Outcome<std::shared_ptr<const CustomerTable>> CustomerTable::Builder::build() {
  if (!m_Fault.empty())
    return Failure{ErrorKind::TableInvalid, m_Fault};
  return std::shared_ptr<const CustomerTable>(std::move(m_Table));
}

} // namespace monsoon
