// The grammar of the operators' language as one table. The parser, the help text and the check of
// the documentation all use it, so that they can't differ.

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

/// One statement. In its syntax, lower-case words are keywords, a|b is a choice of keywords,
/// upper-case words are arguments, [X] is an optional argument, and "..." repeats the preceding
/// argument.
struct GrammarRow
{
  StatementKind kind;
  std::string_view syntax;
  std::string_view help;
};

/// Returns all statements, in the order of the help text.
const std::vector<GrammarRow>& grammar();

/// Returns the table as text, one statement per line.
std::string helpText();

/// A statement with its arguments and chosen keywords.
struct MatchedStatement
{
  StatementKind kind = StatementKind::ShowStatus;
  std::vector<Token> arguments;
  Token first; ///< Its first word.
  Token last;  ///< Its last word.
};

/// Parses the statements of a text; empty statements are skipped. Fails with SyntaxProblem at the
/// first word that matches no statement. Thread-safe.
Result<std::vector<MatchedStatement>> matchStatements(const std::string& aText);

/// Returns the Levenshtein distance of two words. Thread-safe.
std::size_t editDistance(std::string_view aLeft, std::string_view aRight);

} // namespace camphorcleat::fleet

#endif // CAMPHORCLEAT_FLEET_GRAMMAR_H_
