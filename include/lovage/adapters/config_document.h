#pragma once

#include "lovage/core/ids.h"
#include "lovage/core/result.h"
#include "lovage/core/time.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace lovage {

/// Maximum sizes of the stored document and of its fields in bytes. The store holds values of at most 1 MB.
inline constexpr std::size_t k_max_config_document_bytes = 1'000'000;
inline constexpr std::size_t k_max_operation_id_bytes = 64;
inline constexpr std::size_t k_max_author_bytes = 200;
inline constexpr std::size_t k_max_reason_bytes = 2'000;

/// The value of `config/current` and of `config/history/<revision>`.
struct config_document {
    /// Identifies one apply operation, so that its outcome can be read back.
    std::string operation_id;
    std::string author;
    std::string reason;
    /// The configuration as the operator wrote it.
    std::string text;
    /// The revision that this document replaced; 0 for the first.
    config_revision previous = 0;
    /// When the operator applied it, on the clock of the operator's machine.
    wall_time applied{};
    /// The store's era (core/store_revision.h) in which the document was written. A restored store shows the
    /// documents that it still has with its new era.
    std::uint64_t era = 0;
};

/// Encodes a document as JSON. Fails with `invalid_request` if a required field is empty or a field is too
/// long or not UTF-8, and with `request_too_large` if the encoded document is longer than
/// `k_max_config_document_bytes`.
result<std::string> encode_config_document(const config_document& document);

/// Decodes a document. Unknown fields are ignored; `previous`, `applied_ms` and `era`, by default that of
/// `previous`, may be absent. Fails with `protocol_error`.
result<config_document> decode_config_document(const std::string& json);

} // namespace lovage
