#ifndef PRIMROSEWEIR_CONFIGURATION_DETAIL_CUSTOMERS_READER_H_
#define PRIMROSEWEIR_CONFIGURATION_DETAIL_CUSTOMERS_READER_H_

#include <cstddef>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "primroseweir/configuration/detail/field_path.h"
#include "primroseweir/customers/customer_table.h"

namespace primroseweir::detail {

struct ParsedCustomer;
class ValueReader;

// Reads the customers of the operators' text. Its errors name customers, but quote no other part of
// the text: a key may stand in a wrong place.
class CustomersReader {
 public:
  explicit CustomersReader(ValueReader* reader) : reader_(*reader) {}

  // Reads an array of customers. Linear in the number of keys.
  std::vector<CustomerTable::Entry> Read(std::size_t index, const FieldPath& path);

 private:
  // Position of a customer in the array and the node of its name.
  struct NamedAt {
    std::size_t position = 0;
    std::size_t name_index = 0;
  };

  // Records an error for the name if another customer has it.
  void CheckName(const ParsedCustomer& customer, std::size_t position, const FieldPath& path);
  // Records an error for each key that occurred before.
  void CheckKeys(const ParsedCustomer& customer, std::size_t position, const FieldPath& path);

  ValueReader& reader_;
  std::vector<CustomerTable::Entry> entries_;
  std::unordered_map<std::string_view, NamedAt> by_name_;
  // Positions of the customers that hold the keys.
  std::unordered_map<std::string_view, std::size_t> holders_;
};

}  // namespace primroseweir::detail

#endif  // PRIMROSEWEIR_CONFIGURATION_DETAIL_CUSTOMERS_READER_H_
