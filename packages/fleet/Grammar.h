// The operators' language as one table: the parser, the help text and the documentation's check all
// read it, so that they can't differ.

#ifndef CAMPHORCLEAT_FLEET_GRAMMAR_H_
#define CAMPHORCLEAT_FLEET_GRAMMAR_H_

#include <string>
#include <string_view>
#include <vector>

#include "fleet/Tokens.h"

namespace camphorcleat::fleet {

enum class StatementKind
{
  CreateService,
  RemoveService,
  OpenRoute,
  CloseRoutes,
  CreateAccount,
  RemoveAccount,
  SetRate,
  CreateKey,
  CreateKeyOfValue,
  CreateKeyOfDigest,
  WithdrawKey,
  ZoneOut,
  ZoneIn,
  RetireTarget,
  RestoreTarget,
  PinKey,
  PinKeyTo,
  UnpinKey,
  ShowServices,
  ShowAccounts,
  ShowNodes,
  ShowZones,
  ShowOwners,
  ShowPins,
  ShowStatus,
  ShowMembers,
  ShowLeases,
  ShowAudit,
};

/// One statement. In its syntax, lower-case words stand for themselves, a|b for one of the two,
/// upper-case words for arguments, [X] for an argument that may be left out, and "..." for more of
/// the argument before it.
struct GrammarRow
{
  StatementKind kind;
  std::string_view syntax;
  std::string_view help;
};

/// All statements, in the order of the help text.
const std::vector<GrammarRow>& grammar();

/// The table for people, one statement a line.
std::string helpText();

/// A statement and its arguments, with the alternatives that were chosen.
struct MatchedStatement
{
  StatementKind kind = StatementKind::ShowStatus;
  std::vector<Token> arguments;
  Token first; ///< The first word.
  Token last;  ///< The last word.
};

/// Matches the words of each statement in a text; empty statements are skipped. Fails with
/// SyntaxProblem at the first word that fits no statement. Thread-safe.
Result<std::vector<MatchedStatement>> matchStatements(const std::string& aText);

/// How many single-character edits turn one word into the other. Thread-safe.
std::size_t editDistance(std::string_view aLeft, std::string_view aRight);

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_GRAMMAR_H_
