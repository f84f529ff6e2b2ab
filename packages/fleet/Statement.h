// Statements of the operators' language as commands and queries.

#ifndef CAMPHORCLEAT_FLEET_STATEMENT_H_
#define CAMPHORCLEAT_FLEET_STATEMENT_H_

#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "fleet/Grammar.h"
#include "wire/FleetMessages.h"

namespace camphorcleat::fleet {

enum class QueryKind
{
  Services,
  Accounts,
  Nodes,
  Zones,
  Owners,
  Pins,
  Status,
  Members,
  Leases,
  Audit,
};

struct Query
{
  QueryKind kind = QueryKind::Status;
  std::string filter; ///< Empty: everything.
};

/// An account key that was made for a statement without a value. Show it to the operator once and
/// never log it.
struct GeneratedKey
{
  std::string account;
  std::string keyName;
  std::string value; ///< 64 hexadecimal digits.
};

/// One command's worth of changes.
struct ChangeRequest
{
  std::vector<wire::CommandBody> bodies;
  std::vector<GeneratedKey> generatedKeys;
};

using Statement = std::variant<Query, ChangeRequest>;

/// Gives 32 random bits a call; must be fit for secrets.
using RandomSource = std::function<std::uint32_t()>;

/// Reads one query, or statements separated by newlines or ';' that make one command. Without a
/// random source, "create key" needs a value or a digest. Fails with SyntaxProblem. Thread-safe if
/// the source is.
Result<Statement> parseStatement(const std::string& aText, const RandomSource& aRandom = nullptr);

/// A text whose account keys were replaced by their digests.
struct RedactedText
{
  std::string text;
  std::vector<GeneratedKey> generatedKeys;
};

/// Rewrites each "create key" statement to its digest form, so that the key never leaves the
/// operator's machine and a resend carries the same content. Fails with SyntaxProblem. Thread-safe
/// if the source is.
Result<RedactedText> redactSecrets(const std::string& aText, const RandomSource& aRandom);

} // namespace camphorcleat::fleet

namespace camphorcleat {

template<>
struct EnumNames<fleet::QueryKind>
{
  static constexpr EnumName<fleet::QueryKind> kTable[] = {
    { fleet::QueryKind::Services, "services" }, { fleet::QueryKind::Accounts, "accounts" },
    { fleet::QueryKind::Nodes, "nodes" },       { fleet::QueryKind::Zones, "zones" },
    { fleet::QueryKind::Owners, "owners" },     { fleet::QueryKind::Pins, "pins" },
    { fleet::QueryKind::Status, "status" },     { fleet::QueryKind::Members, "members" },
    { fleet::QueryKind::Leases, "leases" },     { fleet::QueryKind::Audit, "audit" },
  };
};

} // namespace camphorcleat

#endif // CAMPHORCLEAT_FLEET_STATEMENT_H_
