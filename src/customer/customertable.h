#ifndef MONSOON_CUSTOMER_CUSTOMERTABLE_H
#define MONSOON_CUSTOMER_CUSTOMERTABLE_H

#include "core/outcome.h"
#include "customer/customer.h"
#include "customer/keydigest.h"

#include "absl/container/flat_hash_map.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace monsoon {

/// The customers of one published version and the digests of their keys.
/// Immutable and checked as a whole.
class CustomerTable {
public:
  class Builder;

  const std::vector<Customer> &customers() const { return m_Customers; }

  /// The customer that holds a key, or null.
  const Customer *find(const KeyDigest &Key) const;
  /// The customer of that name, or null.
  const Customer *findByName(std::string_view Name) const;

private:
  CustomerTable() = default;

  std::vector<Customer> m_Customers;
  /// Positions in m_Customers.
  absl::flat_hash_map<KeyDigest, size_t> m_ByKey;
  absl::flat_hash_map<std::string, size_t> m_ByName;
};

using CustomerTablePtr = std::shared_ptr<const CustomerTable>;

/// Builds a CustomerTable and reports the first fault of what was added.
class CustomerTable::Builder {
public:
  Builder();

  /// Adds a customer and its keys, of which there may be none.
  Builder &add(Customer Value, const std::vector<std::string> &Keys);

  /// The table, or TableInvalid with the customer and the invalid field. Keys
  /// are not part of the message.
  Outcome<std::shared_ptr<const CustomerTable>> build();

private:
  void reportFault(const std::string &Customer, const std::string &Detail);
  void checkCustomer(const Customer &Value);
  void addKey(const std::string &Key, const std::string &Owner, size_t Index);

  std::shared_ptr<CustomerTable> m_Table;
  std::string m_Fault;
};

} // namespace monsoon

#endif
