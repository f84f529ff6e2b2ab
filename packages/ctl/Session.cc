// The client parses statements before it sends them. It reports syntax errors without a daemon and
// replaces account keys by their digests, so that no key is sent.

#include "ctl/Session.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include <unistd.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QRandomGenerator>
#include <QUuid>

#include <readline/history.h>
#include <readline/readline.h>

#include "fleet/QueryResult.h"

namespace camphorcleat::ctl {

namespace {

constexpr std::size_t kMaxFileBytes = std::size_t{ 1024 } * 1024;
constexpr int kMaxHistoryLines = 500;
constexpr std::chrono::seconds kWatchInterval{ 1 };

// Error for a statement file of the 'apply' command that can't be read.
struct FileReadError
{
  static constexpr ErrorCode kCode = ErrorCode::UsageError;
  std::string file;
  std::string reason;
  std::string message() const { return file + ": " + reason; }
};

Result<std::string> readFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return fail(FileReadError{ aPath, "can't be opened" });
  }
  std::string out(kMaxFileBytes + 1, '\0');
  file.read(out.data(), static_cast<std::streamsize>(out.size()));
  out.resize(static_cast<std::size_t>(file.gcount()));
  if (file.bad() || out.size() > kMaxFileBytes) {
    return fail(FileReadError{ aPath, "can't be read or has more than 1 MiB" });
  }
  return out;
}

std::uint32_t randomBits()
{
  return QRandomGenerator::system()->generate();
}

std::string randomCommandId()
{
  return QUuid::createUuid().toString(QUuid::WithoutBraces).toStdString();
}

// Returns whether a line may contain an account key. Such lines aren't added to the history.
bool mayContainKey(const std::string& aLine)
{
  return aLine.find("key") != std::string::npos && aLine.find("value") != std::string::npos;
}

QJsonArray keysToJson(const std::vector<fleet::GeneratedKey>& aKeys)
{
  QJsonArray out;
  for (const auto& it : aKeys) {
    out.append(QJsonObject{ { "account", QString::fromStdString(it.account) },
                            { "key_name", QString::fromStdString(it.keyName) },
                            { "value", QString::fromStdString(it.value) } });
  }
  return out;
}

void writeKeys(std::ostream& aOut, const std::vector<fleet::GeneratedKey>& aKeys)
{
  for (const auto& it : aKeys) {
    aOut << "key " << it.account << "/" << it.keyName << ": " << it.value << "\n";
  }
}

ExitCode exitCodeOf(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::None:
      return ExitCode::Success;
    case ErrorCode::OutcomeUnknown:
      return ExitCode::NoResponse;
    case ErrorCode::UsageError:
    case ErrorCode::SettingsInvalid:
    case ErrorCode::StorageFailed:
      return ExitCode::UsageError;
    default:
      return ExitCode::Refused;
  }
}

// Reads a line, with editing and history if standard input is a terminal.
bool readLine(bool aIsTerminal, std::string& aOut)
{
  if (!aIsTerminal) {
    return static_cast<bool>(std::getline(std::cin, aOut));
  }
  char* line = readline("camphorcleat> ");
  if (line == nullptr) {
    return false;
  }
  aOut = line;
  if (*line != '\0' && !mayContainKey(aOut)) {
    add_history(line);
  }
  std::free(line); // NOLINT(cppcoreguidelines-no-malloc): readline allocates it with malloc.
  return true;
}

} // namespace

Session::Session(CtlSettings aSettings)
  : mSettings(aSettings)
  , mClient(std::move(aSettings))
{
}

ExitCode Session::run()
{
  std::vector<std::string> words = mSettings.words;
  if (words.empty()) {
    return runInteractive();
  }
  if (words.size() == 1 && words[0] == "help") {
    std::cout << fleet::helpText();
    return ExitCode::Success;
  }
  if (words.size() == 2 && words[0] == "apply") {
    return runStatementFile(words[1]);
  }
  if (words.size() > 1 && words[0] == "watch") {
    words.erase(words.begin());
    return watch(joinWords(words));
  }
  return runStatement(joinWords(words));
}

ExitCode Session::runStatement(const std::string& aText)
{
  return orElse([&] { return execute(aText); },
                [this](const ErrorInfo& aInfo) { return printError(aInfo); });
}

ExitCode Session::runStatementFile(const std::string& aPath)
{
  return orElse(
    [&]() -> Result<ExitCode> {
      BOOST_LEAF_AUTO(text, readFile(aPath));
      return execute(text);
    },
    [this](const ErrorInfo& aInfo) { return printError(aInfo); });
}

Result<ExitCode> Session::execute(const std::string& aText)
{
  BOOST_LEAF_CHECK(fleet::parseStatement(aText, randomBits));
  BOOST_LEAF_AUTO(redacted, fleet::redactSecrets(aText, randomBits));
  return sendRedacted(redacted);
}

// Prints the generated keys even if the response is lost: they may be in effect, and a resend with
// the same command id needs the same values.
Result<ExitCode> Session::sendRedacted(const fleet::RedactedText& aRedacted)
{
  const std::string id = mSettings.commandId.empty() ? randomCommandId() : mSettings.commandId;
  auto response = mClient.send(aRedacted.text, id);
  if (!response) {
    writeKeys(std::cerr, aRedacted.generatedKeys);
    return response.error();
  }
  return printResponse(*response, aRedacted.generatedKeys);
}

ExitCode Session::printError(const ErrorInfo& aInfo)
{
  const std::string code(enumName(aInfo.code));
  if (mSettings.writesJson) {
    const QJsonObject out{ { "code", QString::fromStdString(code) },
                           { "message", QString::fromStdString(aInfo.message) },
                           { "revision", 0 },
                           { "result", QJsonValue::Null } };
    std::cout << QJsonDocument(out).toJson(QJsonDocument::Compact).toStdString() << "\n";
  } else {
    std::cerr << code << ": " << aInfo.message << "\n";
  }
  return exitCodeOf(aInfo.code);
}

ExitCode Session::printResponse(const StatementResponse& aResponse,
                                const std::vector<fleet::GeneratedKey>& aKeys)
{
  const bool isAccepted = aResponse.code == enumName(ErrorCode::None);
  const auto keys = isAccepted && !mSettings.isDryRun ? aKeys : std::vector<fleet::GeneratedKey>();
  if (mSettings.writesJson) {
    printJson(aResponse, keys);
  } else if (!isAccepted) {
    std::cerr << aResponse.code << ": " << aResponse.message << " (revision " << aResponse.revision
              << ")\n";
  } else if (!aResponse.result.isEmpty()) {
    std::cout << fleet::renderTable(aResponse.result);
  } else {
    std::cout << (mSettings.isDryRun ? "would be accepted" : "accepted") << " at revision "
              << aResponse.revision << "\n";
  }
  if (!mSettings.writesJson) {
    writeKeys(std::cout, keys);
  }
  std::cout.flush();
  return isAccepted
           ? ExitCode::Success
           : exitCodeOf(enumFromName<ErrorCode>(aResponse.code).value_or(ErrorCode::Internal));
}

void Session::printJson(const StatementResponse& aResponse,
                        const std::vector<fleet::GeneratedKey>& aKeys)
{
  QJsonObject out = aResponse.body;
  if (!aKeys.empty()) {
    QJsonObject result = aResponse.result;
    result.insert("generated_keys", keysToJson(aKeys));
    out.insert("result", result);
  }
  std::cout << QJsonDocument(out).toJson(QJsonDocument::Compact).toStdString() << "\n";
}

// Repeats a query until the program is interrupted. A missing response doesn't end the loop,
// because operators need the output especially while daemons fail.
ExitCode Session::watch(const std::string& aText)
{
  const bool isQuery = orElse(
    [&]() -> Result<bool> {
      BOOST_LEAF_AUTO(statement, fleet::parseStatement(aText, randomBits));
      return std::holds_alternative<fleet::Query>(statement);
    },
    [this](const ErrorInfo& aInfo) {
      printError(aInfo);
      return false;
    });
  if (!isQuery) {
    std::cerr << "usage_error: 'watch' accepts only a 'show' statement\n";
    return ExitCode::UsageError;
  }
  while (std::cout) {
    runStatement(aText);
    std::this_thread::sleep_for(kWatchInterval);
  }
  return ExitCode::Success;
}

// Returns the exit code of the last failed statement if standard input isn't a terminal. At a
// terminal the operator has seen each failure, so it returns Success.
ExitCode Session::runInteractive()
{
  const bool isTerminal = isatty(STDIN_FILENO) != 0;
  stifle_history(kMaxHistoryLines);
  ExitCode out = ExitCode::Success;
  bool isDone = false;
  for (std::string line; !isDone && readLine(isTerminal, line);) {
    const ExitCode code = runInteractiveLine(line, isDone);
    out = code == ExitCode::Success || isTerminal ? out : code;
  }
  return out;
}

ExitCode Session::runInteractiveLine(const std::string& aLine, bool& aIsDone)
{
  std::istringstream in(aLine);
  std::string first;
  std::string rest;
  in >> first >> rest;
  aIsDone = first == "exit" || first == "quit";
  if (aIsDone || first.empty() || first[0] == '#') {
    return ExitCode::Success;
  }
  if (first == "help") {
    std::cout << fleet::helpText();
    return ExitCode::Success;
  }
  if (first == "apply") {
    return runStatementFile(rest);
  }
  return runStatement(aLine);
}

} // namespace camphorcleat::ctl
