#pragma once

#include "record.h"
#include "report.h"

#include "lovage/core/result.h"

#include <map>
#include <string>
#include <vector>

namespace lovage::load {

/// Reads the call ledgers of the lovage-fake-service processes at `addresses` ("ip:port"). Returns how often
/// a call with each idempotency key ran, without lookups. Blocks; fails if a ledger cannot be read.
result<std::map<std::string, std::uint64_t>> read_ledgers(const std::vector<std::string>& addresses);

/// Compares the outcome of one request with `runs`, the result of `read_ledgers`, and adds it to `findings`.
void compare_with_ledger(ledger_findings& findings, const request_record& record,
                         const std::map<std::string, std::uint64_t>& runs);

} // namespace lovage::load
