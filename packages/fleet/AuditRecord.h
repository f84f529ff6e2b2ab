// One record of the audit trail: who issued which command, when, and with which result.
//
// The values before and after are JSON texts without account keys or their digests, because people
// who may not call the targets can read the trail.

#ifndef CAMPHORCLEAT_FLEET_AUDITRECORD_H_
#define CAMPHORCLEAT_FLEET_AUDITRECORD_H_

#include <cstdint>
#include <string>

#include "base/Codec.h"

namespace camphorcleat::fleet {

struct AuditRecord
{
  Revision revision = 0;            ///< Revision of the log entry; set for refused commands too.
  std::int64_t atUnixMillis = 0;    ///< Wall-clock time of the control member that proposed it.
  std::string issuer;               ///< Operator name or "system".
  std::string commandId;            ///< Empty for commands of the system.
  std::string kind;                 ///< kName of the command body.
  std::string object;               ///< Such as "account/acme" or "zone/tbilisi-a".
  std::string before;               ///< JSON, or empty if the object did not exist.
  std::string after;                ///< JSON, or empty if the object does not exist.
  ErrorCode code = ErrorCode::None; ///< ErrorCode::None if it was accepted.
  static constexpr auto fields()
  {
    return std::make_tuple(
      field("revision", &AuditRecord::revision), field("at_unix_ms", &AuditRecord::atUnixMillis),
      field("issuer", &AuditRecord::issuer), field("command_id", &AuditRecord::commandId),
      field("kind", &AuditRecord::kind), field("object", &AuditRecord::object),
      field("before", &AuditRecord::before), field("after", &AuditRecord::after),
      field("code", &AuditRecord::code));
  }
};

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_AUDITRECORD_H_
