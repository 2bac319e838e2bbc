#include "lovage/core/request_fingerprint.h"

#include "lovage/core/ids.h"

namespace lovage {

request_fingerprint fingerprint_of(const request_identity& identity) {
    request_fingerprint hash = 0;
    for (const auto part :
         {identity.host, identity.method, identity.target, identity.organisation, identity.body}) {
        // The length keeps ("ab", "c") and ("a", "bc") apart.
        hash = hash_bytes(part, hash + part.size());
    }
    return hash;
}

std::string format_fingerprint(request_fingerprint fingerprint) {
    return answer_id{fingerprint}.to_string();
}

} // namespace lovage
