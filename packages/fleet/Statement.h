// Parses statements of the operators' language into commands and queries.

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
  std::string filter; ///< Selects names that contain it; empty selects all.
};

/// An account key generated for a statement without a value. It must be shown to the operator once
/// and never logged.
struct GeneratedKey
{
  std::string account;
  std::string keyName;
  std::string value; ///< 64 hexadecimal digits.
};

/// The bodies of one command.
struct ChangeRequest
{
  std::vector<wire::CommandBody> bodies;
  std::vector<GeneratedKey> generatedKeys;
};

using Statement = std::variant<Query, ChangeRequest>;

/// Returns 32 random bits per call; must be cryptographically secure.
using RandomSource = std::function<std::uint32_t()>;

/// Parses one query, or the statements of one command separated by newlines or ';'. Without a
/// random source, "create key" requires a value or a digest. Fails with SyntaxProblem. Thread-safe
/// if the source is.
Result<Statement> parseStatement(const std::string& aText, const RandomSource& aRandom = nullptr);

/// Statements whose account keys were replaced by their digests.
struct RedactedText
{
  std::string text;
  std::vector<GeneratedKey> generatedKeys;
};

/// Rewrites each "create key" statement to its digest form, so that the key is not sent to a daemon
/// and a resend has the same content. aRandom must not be null. Fails with SyntaxProblem.
/// Thread-safe if the source is.
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
